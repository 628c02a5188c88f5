Feature: Finding the cause of a failed request by the request's id

  Scenario: Refused under load
    Given a cell whose waiting work takes a minute
    When a job "aaaa" comes whose result would be of no use by then
    Then it is refused with a time to retry after
    And the explain command reports that "aaaa" was refused and did not run

  Scenario: Accepted and late
    Given a cell of 1 workers that writes logs
    And a job "bbbb" that starts and loses its worker
    When time passes until "bbbb" is completed
    Then the explain command reports that "bbbb" was late and lost with its lease

  Scenario: Accepted, then failed
    Given a cell of 1 workers that writes logs
    And a job "cccc" whose task fails each time
    When time passes until "cccc" is failed
    Then the explain command reports that "cccc" failed 2 times, and where

  Scenario: Log output is bounded, and dropped lines are counted
    Given a telemetry with a manual clock
    When 2000 lines of one kind are written in a second
    Then at most 620 are passed on and the rest is counted

  Scenario: A reader of stdout that stops reading blocks nothing
    Given a pipe that is not read
    When a megabyte of lines is written to it
    Then every call returned and the loss is counted

  Scenario: A flood of the least urgent jobs gets no urgent job refused
    Given a cell whose waiting work takes a minute
    Then an urgent job is not refused
    And a job larger than any worker is refused for good

  Scenario: Gauges of a cell show waiting tasks, their waits and their demand
    Given a cell of 2 workers
    And tasks that take 9 s
    And a job "j1" of 40 tasks and then 1 tasks
    When the leader plans
    And 3 s pass
    Then the gauges of the cell show waiting tasks of "renewals" for 3 s or more
    And the capacity asked for and used is that of the job's tasks
    And every name in the metrics has a type

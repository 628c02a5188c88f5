Feature: The way from a failed request's id to its cause

  Scenario: Refused under load
    Given a cell whose waiting work takes a minute
    When a job "aaaa" comes that would be of no use by then
    Then it is refused with a time to come back
    And the page's command says that "aaaa" was refused and did not run

  Scenario: Accepted and late
    Given a cell of 1 workers that writes logs
    And a job "bbbb" that starts and loses its worker
    When time passes until "bbbb" is completed
    Then the page's command says that "bbbb" was late and lost with its lease

  Scenario: Accepted, then failed
    Given a cell of 1 workers that writes logs
    And a job "cccc" whose task fails each time
    When time passes until "cccc" is failed
    Then the page's command says that "cccc" failed 2 times, and where

  Scenario: Logs stay bounded and say what they dropped
    Given a telemetry with a manual clock
    When 2000 lines of one kind are written in a second
    Then at most 620 are passed on and the rest is counted

  Scenario: A reader of stdout that stands still holds up nothing
    Given a pipe that nobody reads
    When a megabyte of lines is written to it
    Then every call returned and the loss is counted

  Scenario: A flood of the least urgent does not turn away the urgent
    Given a cell whose waiting work takes a minute
    Then an urgent job is not refused
    And a job that no worker could hold is refused for good

  Scenario: The gauges of a cell tell who waits, for how long, and for what room
    Given a cell of 2 workers
    And tasks that take 9 s
    And a job "j1" of 40 tasks and then 1 tasks
    When the leader plans
    And 3 s pass
    Then the gauges of the cell show waiting tasks of "renewals" for 3 s or more
    And the room asked for and used is that of the job's tasks
    And every name in the metrics has a type

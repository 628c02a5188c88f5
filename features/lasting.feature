Feature: Tasks of a service stay at work, whatever is done to others

  Scenario: A stop waits while too many others of its step are away
    Given a service "web" of 4 tasks on 4 workers, of which 1 may miss
    When the stops of two of its tasks are ordered
    Then one is stopped, and the other when that one is back at work

  Scenario: A service whose job is cancelled stops at once
    Given a service "web" of 4 tasks on 4 workers, of which 1 may miss
    When its job is cancelled
    Then all its tasks are stopped

  Scenario: A start that was not answered and is there stays
    Given a service "web" of 4 tasks on 4 workers, of which 1 may miss
    When the answer to the start of one of its tasks is lost
    And 3 s pass
    Then no task of "web" was stopped and all run

  Scenario: A start that was not answered and is not there is refused for good
    Given a service "web" of 4 tasks on 4 workers, of which 1 may miss
    When the start of one of its tasks is lost and may come late
    And 3 s pass
    And the late start comes
    Then all tasks of "web" run once

  Scenario: A task on a leaving worker is moved whoever is away
    Given a service "web" of 4 tasks on 6 workers, of which 1 may miss
    When one of its workers is lost and another is leaving
    And 2 s pass
    Then the task on the leaving worker was stopped

  Scenario: The slow tail of a step gets a copy, and the first end counts
    Given a cell of 4 workers
    And a step "s1" of 6 tasks of which copies may run, one 20 times as long
    When 6 s pass
    Then "s1" is completed and one copy was started

  Scenario: A step that allows no copies gets none
    Given a cell of 4 workers
    And a step "s1" of 6 tasks, one 20 times as long
    When 6 s pass
    Then "s1" is not completed and no copy was started

  Scenario: Copies wait while there is no room beside waiting work
    Given a cell of 4 workers
    And a step "s1" of 6 tasks of which copies may run, one 20 times as long
    And a flood of 400 tasks of rank 2
    When 6 s pass
    Then "s1" is not completed and no copy was started

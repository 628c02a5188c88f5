Feature: Tasks of a service keep running while others are stopped or moved

  Scenario: A stop waits while too many others of its step are unavailable
    Given a service "web" of 4 tasks on 4 workers, of which 1 may be unavailable
    When the stops of two of its tasks are ordered
    Then one is stopped, and the other once that one runs again

  Scenario: A service whose job is cancelled stops at once
    Given a service "web" of 4 tasks on 4 workers, of which 1 may be unavailable
    When its job is cancelled
    Then all its tasks are stopped

  Scenario: An unanswered start that reached the worker keeps running
    Given a service "web" of 4 tasks on 4 workers, of which 1 may be unavailable
    When the answer to the start of one of its tasks is lost
    And 3 s pass
    Then no task of "web" was stopped and all run

  Scenario: An unanswered start that is not at the worker is refused for good
    Given a service "web" of 4 tasks on 4 workers, of which 1 may be unavailable
    When the start of one of its tasks is lost and may come late
    And 3 s pass
    And the late start comes
    Then all tasks of "web" run once

  Scenario: A task on a leaving worker is moved however many are unavailable
    Given a service "web" of 4 tasks on 6 workers, of which 1 may be unavailable
    When one of its workers is lost and another is leaving
    And 2 s pass
    Then the task on the leaving worker was stopped

  Scenario: The straggler of a step gets a copy, and the first end counts
    Given a cell of 4 workers
    And a step "s1" of 6 tasks of which copies may run, one 20 times as long
    When 6 s pass
    Then "s1" is completed and one copy was started

  Scenario: A step that allows no speculative copies gets none
    Given a cell of 4 workers
    And a step "s1" of 6 tasks, one 20 times as long
    When 6 s pass
    Then "s1" is not completed and no copy was started

  Scenario: Speculative copies wait while waiting tasks take all free capacity
    Given a cell of 4 workers
    And a step "s1" of 6 tasks of which copies may run, one 20 times as long
    And a flood of 400 tasks of rank 2
    When 6 s pass
    Then "s1" is not completed and no copy was started

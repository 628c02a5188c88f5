Feature: The choice of workers for waiting tasks, in a large fleet

  Scenario: Full fleet of 270 workers, only workers with capacity are examined
    Given a fleet of 270 full workers and 4 with free capacity for one task
    When a task looks for free capacity
    Then only those 4 workers were examined, the fullest first

  Scenario: The index chooses as a scan of all workers does
    Given 150 fleets of up to 60 workers with 12 waiting steps, at random
    Then each step is given the workers that a scan finds

  Scenario: Flood of steps that hold their tickets, none asks again
    Given a fleet of 270 full workers and 4 with free capacity for one task
    And 120 steps that hold tickets for all workers
    When the leader looks for steps that need tickets
    And it looks again 20 ms later
    Then the second pass asked no step for its workers

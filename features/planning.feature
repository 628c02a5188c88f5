Feature: Where waiting tasks go, at the size of a large fleet

  Scenario: Full fleet of 270 workers, a step looks only where there is room
    Given a fleet of 270 full workers and 4 with room for one task
    When a task looks for room
    Then it looked at those 4 workers only, the fullest first

  Scenario: The index chooses as a scan of all workers does
    Given 150 fleets of up to 60 workers with 12 waiting steps, at random
    Then each step is given the workers that a scan finds

  Scenario: Flood of steps that hold their tickets, none asks anew
    Given a fleet of 270 full workers and 4 with room for one task
    And 120 steps that hold tickets for all workers
    When the leader looks for steps that need tickets
    And it looks again 20 ms later
    Then the second look asked no step for its workers

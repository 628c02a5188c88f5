Feature: Fillers use what others leave free, and do not disturb services

  Scenario: Fillers take the memory of their worker, and no processors
    Given a cell of 1 workers
    And a job "full" that takes all 16 processors of a worker
    When a filler "f1" of 3 tasks comes, each of 8 processors and 30000 MB
    And the leader plans
    Then 2 tasks of "f1" run

  Scenario: Fillers go where no service is
    Given a cell of 4 workers
    And a service "web" of 3 tasks, one a worker, with a target of 100 ms
    When a filler "f1" of 1 tasks comes, each of 8 processors and 100 MB
    And the leader plans
    Then the task of "f1" runs beside no service

  Scenario: A filler that disturbs a service is slowed in time
    Given a cell of 1 workers
    And a service "web" of 1 tasks, one a worker, with a target of 100 ms
    And fillers raise its tail latency from 50 ms by up to 120 ms
    When a filler "f1" of 1 tasks comes, each of 8 processors and 100 MB
    And 20 s pass with a lease renewal each 0.2 s
    Then the service was over its target for at most 1.3 s at a time
    And the filler did at least 15% of the work that it does alone

  Scenario: A filler is back at full speed once the service is undisturbed
    Given a cell of 1 workers
    And a service "web" of 1 tasks, one a worker, with a target of 100 ms
    And fillers raise its tail latency from 50 ms by up to 120 ms
    When a filler "f1" of 1 tasks comes, each of 8 processors and 100 MB
    And 5 s pass with a lease renewal each 0.2 s
    And fillers raise its tail latency from 20 ms by up to 10 ms
    And 10 s pass with a lease renewal each 0.2 s
    Then the filler runs at 100 percent

  Scenario: A filler that disturbs at any speed is moved elsewhere
    Given a cell of 1 workers
    And a service "web" of 1 tasks, one a worker, with a target of 100 ms
    And fillers raise its tail latency from 90 ms by up to 500 ms
    When a filler "f1" of 1 tasks comes, each of 8 processors and 100 MB
    And 8 s pass with a lease renewal each 0.2 s
    Then the filler was stopped and does not run there

  Scenario: A new leader goes on from the speed limits that workers list
    Given a cell of 1 workers
    And a service "web" of 1 tasks, one a worker, with a target of 100 ms
    And fillers raise its tail latency from 50 ms by up to 120 ms
    When a filler "f1" of 1 tasks comes, each of 8 processors and 100 MB
    And 6 s pass with a lease renewal each 0.2 s
    And another leader takes over
    And 4 s pass with a lease renewal each 0.2 s
    Then the service was over its target for at most 1.3 s at a time

  Scenario: The filler that disturbs most is slowed first
    Given a cell of 1 workers
    And a service "web" of 1 tasks, one a worker, with a target of 100 ms
    And only the image "heavy" raises its tail latency from 50 ms by up to 45 ms
    When a filler "f1" with image "light" and a filler "f2" with "heavy" come
    And 8 s pass with a lease renewal each 0.2 s
    Then the disturbance score of "heavy" is above that of "light"

  Scenario: Scores of image pairs are dropped, the oldest first
    Given empty disturbance scores
    When 10001 pairs of images are recorded once each
    Then the last pair has a score and the first has none

Feature: Tasks that crash workers are given up, and those beside them are not

  # Guards against endless starts of a task that crashes its workers.
  Scenario: A task that crashes each worker that starts it is given up
    Given a cell of 6 workers
    And a job "bad" of 4 tasks, of which the first crashes its workers
    When time passes until "bad" is failed
    Then "bad.0.0.0" crashed at least 2 workers and at most 3
    When 10 s pass
    Then nothing is left at the workers

  # Guards against jobs that fail for a crash that another task caused.
  Scenario: Tasks beside one that crashes workers are run to their end
    Given a cell of 6 workers
    And tasks that take 3 s
    And 12 jobs of 4 tasks
    And a job "bad" of 4 tasks, of which the first crashes its workers
    When time passes until "bad" is failed
    And 60 s pass
    Then all other jobs are completed

  # Guards against starts that only plain steps count.
  Scenario Outline: A job of another shape that crashes its workers is given up
    Given a cell of 6 workers
    And <shape> "bad" of which the first task crashes its workers
    When time passes until "bad" is failed
    Then "bad.0.0.0" crashed at least 2 workers and at most 4
    When 10 s pass
    Then nothing is left at the workers

    Examples:
      | shape                      |
      | a gang                     |
      | a service                  |
      | a step with copies         |
      | a job that repeats         |

  # Guards against crashes that are taken for starts that did not arrive.
  Scenario: A crash before the start is answered counts
    Given a cell of 6 workers
    And starts that are not answered before a crash
    And a job "bad" of 4 tasks, of which the first crashes its workers
    When time passes until "bad" is failed
    Then "bad.0.0.0" crashed at least 2 workers and at most 5

  # Guards against crashes that only a change of the id shows.
  Scenario: A crash of a worker that keeps its id counts
    Given a cell of 6 workers
    And workers that keep their ids
    And a job "bad" of 4 tasks, of which the first crashes its workers
    When time passes until "bad" is failed
    Then "bad.0.0.0" crashed at least 2 workers and at most 4

  # Guards against crashes that are never counted, as the lease expires first.
  Scenario: A crash that shows only after the lease has expired counts
    Given a cell of 6 workers
    And workers that restart after 12 s and are not listed in between
    And a job "bad" of 4 tasks, of which the first crashes its workers
    When time passes until "bad" is failed
    Then "bad.0.0.0" crashed at least 2 workers and at most 5
    And the leader is certain of at least 2 of its crashes

  # Guards against a task that takes others with it each time.
  Scenario: A task under which two workers crashed runs alone
    Given a cell of 6 workers
    And tasks that take 2 s
    And 10 jobs of 4 tasks
    And a job "bad" of 4 tasks, of which the first crashes its workers
    When time passes until "bad" is failed
    Then the last crash of "bad.0.0.0" took no other task

  # Guards against crashes that show nothing, and against workers kept idle.
  Scenario: No task starts beside one that runs alone, until it has run long
    Given a cell of 3 workers
    And tasks that take 60 s
    And a job "j1" of 1 tasks and then 1 tasks
    And the leader has started them
    When the worker of "j1.0.0.0" crashes after 1 s, 2 times
    And 40 jobs of 4 tasks are submitted
    And 1 s pass
    Then "j1.0.0.0" is alone on its worker
    When 3 s pass
    Then "j1.0.0.0" is not alone on its worker

  # Guards against an endless wait for a worker without tasks.
  Scenario: A task that should run alone starts although no worker is empty
    Given a service "web" of 4 tasks on 4 workers, of which 1 may be unavailable
    And a job "bad" of 4 tasks, of which the first crashes its workers
    When time passes until "bad" is failed
    Then "bad.0.0.0" crashed at least 2 workers and at most 4

  # Guards against a gang whose members wait for more workers than there are.
  Scenario: A gang that was on crashed workers starts in a small fleet
    Given a cell of 2 workers
    And a gang "g1" of 6 tasks of 4 processors
    And the leader has started them
    When all workers crash twice, 4 s apart
    And time passes until "g1" is completed
    Then nothing is left at the workers

  # Guards against copies that crash a second worker for each first one.
  Scenario: A task under which a worker crashed gets no copy
    Given a cell of 6 workers
    And a step with copies "bad" of which the first task crashes its workers
    When time passes until "bad" is failed
    Then no copy was placed after the first crash was known

  # Guards against jobs that fail for workers that were out of reach.
  Scenario: A worker that comes back as it was has not crashed
    Given a cell of 2 workers
    And a job "j1" of 4 tasks and then 2 tasks
    And tasks that take 60 s
    And the leader has started them
    And the leader has led for 5 s
    When a worker is cut off for 9 s
    Then 1 lost worker counts against its tasks
    When it comes back
    Then no lost worker counts against any task

  # Guards against jobs that fail for workers that were taken away.
  Scenario: A worker that leaves after notice has not crashed
    Given a cell of 2 workers
    And a job "j1" of 4 tasks and then 2 tasks
    And tasks that take 60 s
    And the leader has started them
    When a worker is told to leave and another id answers at its address
    Then no lost worker counts against any task

  # Guards against jobs that fail for crashes that no task caused.
  Scenario Outline: Workers that crash by themselves fail no job
    Given a cell of 6 workers
    And tasks that take <seconds> s
    And 12 jobs of 4 tasks
    When <crashes>
    And 120 s pass
    Then all other jobs are completed

    Examples:
      | seconds | crashes                                         |
      | 3       | all workers crash twice, 6 s apart              |
      | 3       | half of the workers crash 3 times, 5 s apart    |
      | 1       | one worker crashes every 4 s, 8 times           |

  # Guards against services that fail for the crashes of many days.
  Scenario: A service survives any number of crashes that are far apart
    Given a service "web" of 4 tasks on 4 workers, of which 1 may be unavailable
    When one of its workers crashes every 650 s, 6 times
    Then no task of "web" has failed and all run

  # Guards against restarts that happen while no leader looks.
  Scenario: A new leader finds that a worker has restarted under its id
    Given a cell of 3 workers
    And tasks that take 60 s
    And workers that keep their ids
    And a job "j1" of 4 tasks and then 2 tasks
    And the leader has started them
    When a worker crashes and another leader takes over once it has restarted
    And 3 s pass
    Then its tasks run again and 1 crash counts against each

  # Guards against jobs that fail for crashes of workers where their runs had
  # ended before, with the lease.
  Scenario: Workers restart long after their last answers
    Given a cell of 3 workers
    And tasks that take 60 s
    And a job "j1" of 1 tasks and then 1 tasks
    And the leader has started them
    When 7 s pass without renewals and its worker restarts, 4 times
    Then the job "j1" has not failed

  # Guards against crashes that a new leader takes for workers out of reach.
  Scenario: A new leader finds the crash of a worker that is no longer listed
    Given a cell of 3 workers
    And tasks that take 60 s
    And a job "j1" of 4 tasks and then 2 tasks
    And the leader has started them
    When a worker crashes and another leader takes over once it has restarted
    And 1 s pass
    Then its tasks run again and 1 crash counts against each

  # Guards against counts that are lost with the leader.
  Scenario: A new leader knows how often a task crashed its worker
    Given a cell of 6 workers
    And a job "bad" of 4 tasks, of which the first crashes its workers
    When another leader takes over during each restart until "bad" is failed
    Then "bad.0.0.0" crashed at least 2 workers and at most 5

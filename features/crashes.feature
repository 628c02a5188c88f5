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
    Then "bad.0.0.0" crashed at least 2 workers and at most 4

  # Guards against crashes that only a change of the id shows.
  Scenario: A crash of a worker that keeps its id counts
    Given a cell of 6 workers
    And workers that keep their ids
    And a job "bad" of 4 tasks, of which the first crashes its workers
    When time passes until "bad" is failed
    Then "bad.0.0.0" crashed at least 2 workers and at most 4

  # Guards against counts that are lost with the leader.
  Scenario: A new leader knows how often a task crashed its worker
    Given a cell of 6 workers
    And a job "bad" of 4 tasks, of which the first crashes its workers
    When another leader takes over during each restart until "bad" is failed
    Then "bad.0.0.0" crashed at least 2 workers and at most 4

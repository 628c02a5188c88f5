Feature: The log says why a job waits although a worker has free capacity

  # Guards against a job that waits beside idle workers for a reason that the
  # log does not show (review, case 1, one run that could not be traced).
  Scenario Outline: A job waits beside idle workers, its log event says why
    Given a cell of 3 workers
    And all its workers are <state>
    And a job of 1 task for workers of <kind> kind
    When 6 s pass
    Then the log says once that it waits, beside <count> workers, <reason>

    Examples:
      | state       | kind | count | reason      |
      | usable      | no   | 0     | none        |
      | suspected   | any  | 3     | suspected   |
      | silent      | any  | 3     | silent      |
      | not adopted | any  | 3     | not adopted |

  Scenario: A job waits for full workers, no log event
    Given a cell of 3 workers
    And a task of 15 processors that takes 600 s on each worker
    And a job of 1 task for workers of any kind
    When 6 s pass
    Then the log says 0 times that a step waits

  Scenario: 200 jobs wait for different amounts, few log events
    Given a cell of 3 workers
    And all its workers are suspected
    And 200 jobs of 1 task that need 1000 and more CPU millis
    When 9 s pass
    Then the log says 9 times that a step waits

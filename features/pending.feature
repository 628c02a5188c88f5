Feature: The number of jobs that wait in a queue

  # Guards against queues that seem short: jobs of which only a start was sent,
  # and got lost, were left out for good.
  Scenario Outline: A job whose only start did not take effect waits again
    Given a cell of 1 workers
    And a job "j1" of 1 tasks with tickets for all workers
    And tasks that take 60 s
    When its start is <what>, and the worker is suspected
    Then 1 job of its queue waits
    When the worker is not suspected any more, and 3 s pass
    Then 0 jobs of its queue wait

    Examples:
      | what    |
      | lost    |
      | refused |

  # Guards against queues that seem short while leaders wait for the leases of
  # workers that were cut off.
  Scenario: A job whose start was not answered waits until a list shows it
    Given a cell of 1 workers
    And a job "j1" of 1 tasks and then 1 tasks
    And tasks that take 60 s
    When the worker is cut off, and its start is not answered
    Then 1 job of its queue waits
    When the start arrives late, and the worker is reached again
    Then 0 jobs of its queue wait

  Scenario: A new leader finds that a stored start never began
    Given a cell of 1 workers
    And a job "j1" of 1 tasks with tickets for all workers
    And tasks that take 60 s
    When its start is stored and not sent, and another leader takes over
    Then 1 job of its queue waits

  # Guards against the same while the start may still be carried out, so that
  # the task must not start elsewhere.
  Scenario: A job of which the only start is held waits
    Given a cell of 1 workers
    And a job "j1" of 1 tasks and then 1 tasks
    And tasks that take 60 s
    When its starts get no answer for 4 s
    Then 1 job of its queue waits
    And its task is not started for 8 s more
    When the worker is not suspected any more, and 6 s pass
    Then 0 jobs of its queue wait

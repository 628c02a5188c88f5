Feature: What must run once, where calls overtake what the leader knows

  # Guards against stops of sound runs: a worker that only a record names has
  # no capacity, so its runs count as too large before its first list.
  Scenario Outline: A new leader stops nothing on workers that its list lacks
    Given a running <kind> of 3 tasks on as many workers
    When another leader follows whose list lacks the workers, all alive
    And it plans before the workers have answered, and 2 s pass
    Then no task was stopped

    Examples:
      | kind    |
      | batch   |
      | service |

  # Guards against two runs of one task: a start that is still under way is no
  # start without an answer, so its run was released.
  Scenario Outline: A run is stopped while its start is under way
    Given a start under way as <cause>
    When a stop is answered and a list read before the start times out
    And the worker restarts under its id, and the start arrives there
    Then the task of that start runs at one worker at most

    Examples:
      | cause                                 |
      | its worker begins to drain            |
      | another member of its gang is refused |

  # Guards against two runs of a service's task, which starts again after it
  # has ended as done.
  Scenario: A service ends as done while its first start may still act
    Given a service whose start was repeated, and which then ends as done
    When the worker restarts under its id, and the start arrives there
    Then the task of that start runs at one worker at most

  # Guards against two runs of one task: the renewal, which fails after the
  # restart is known, extends the lease of a run that a late start began.
  Scenario: A renewal is under way as its worker restarts
    Given a task whose start was repeated, and runs for 6 s
    When its worker restarts while a renewal is under way, and is cut off
    And the start and the renewal arrive there within 12 s of their sending
    Then the task never ran at two workers

  # The same for renewals of a leader that has lost the store.
  Scenario: A new leader counts with late renewals of its predecessor
    When another leader follows that never reaches the worker
    Then it counts with renewals of its predecessor for as long as they may come

  # Guards against two runs of one task: the run that a list has shown was
  # withdrawn as one that was never started.
  Scenario: A repeated start waits for the store while its run is listed
    Given a repeated start that waits for the store, as a list shows the run
    When the store is slow for 13 s, the worker drains, and the store is back
    Then the task of that start runs at one worker at most

  # Guards against workers over their capacity.
  Scenario: A worker shrinks while a start waits for the store
    Given a start that waits for the store
    When its worker shrinks below the size of the task, and the store is back
    Then that start is not sent

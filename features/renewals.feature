Feature: Each worker that is listed and answers is used

  # Guards against idle workers that no longer get tasks after their entries
  # expired in an outage of the store (review, case 1).
  Scenario: An entry is back before the last call for the removed worker ends
    Given a leader that renews the lease of an idle worker
    When its entry is removed and is back after 50 to 1500 ms, 30 times
    Then the worker was usable within 3 s each time

  # Guards against a log in which a worker whose entry came back looks like one
  # whose entry did not (review, case 1, one run that could not be traced).
  Scenario: An entry is back before the leader has removed the worker
    Given a leader that renews the lease of an idle worker
    When its entry is removed and is back in one read
    Then the log says once that the entry is back
    And all workers are usable within 3 s

  Scenario: Entries of many workers expire and return in any order
    Given a leader that renews the leases of 12 idle workers
    When their entries are removed and return at random for 60 s
    Then all workers are usable within 3 s
    And each of them is renewed by one call at a time

  # Guards against runs that go on at the leader though they have ended, so that
  # their tasks wait for seconds: calls are answered out of order.
  Scenario: A list is overtaken by one with the end of its run
    Given a service task without tickets, listed for 3 s by its worker
    When a list is read, the run fails, and a later list overtakes the first
    Then the task waits at once, and no run of it is adopted

  # Guards against a life of a worker that only its answer shows, and that is
  # not asked for its runs until its entry comes.
  Scenario: A worker restarts under its id while the store is down
    Given a leader that renews the lease of an idle worker
    And a task that runs there
    When the worker restarts under its id, and its entry is late
    Then the task ends as absent within 3 s

  Scenario: A listed worker that is not adopted is reported
    Given a leader that renews the lease of an idle worker
    And a worker that is listed and never answers
    When 8 s pass on the virtual clock
    Then the log says once that the second worker is not adopted
    And the metrics count 1 worker that is not adopted

  # Guards against orders that follow the release of the leadership, which the
  # next leader takes for the end of all orders.
  Scenario: A leader that hands over sends no more orders
    Given a leader that renews the leases of 3 idle workers
    When the leader finishes, to release the leadership
    Then it calls no worker any more

  # Guards against starts of a batch that is stored after the calls have ended.
  Scenario: A batch is stored as a leader hands over
    Given a leader that renews the leases of 3 idle workers
    When a job is being stored as the leader finishes, for 500 ms
    Then no start is sent

Feature: A worker restarts under its id, which calls to it cannot tell apart

  # Guards against leases that are renewed up to the longest one that a former
  # incarnation may have left, so that tasks of a lost worker wait for that.
  Scenario: The lease of a restarted worker is renewed for the usual time
    Given a cell of 2 workers
    And the clock of a worker is far ahead
    When that worker restarts under its id and answers a renewal
    And 5 s pass
    Then the worker's own lease ends within 7 s

  # Guards against two runs of one task: a new leader counted 4.5 s for a lease
  # of 10 s, which a start for the former incarnation had left at the next.
  Scenario: A new leader loses a restarted worker soon after it took over
    Given a cell of 2 workers
    And the clock of a worker is far ahead
    When a start for that worker reaches its next incarnation
    And another leader takes over
    And the worker is cut off for 12 s
    Then the task ran nowhere else while it ran there
    And it runs elsewhere now

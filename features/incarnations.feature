Feature: A worker restarts under its id, which calls to it cannot tell apart

  # Guards against leases that are renewed up to the longest one that a former
  # incarnation may have left, so that tasks of a lost worker wait for that.
  Scenario: The lease of a restarted worker is renewed for the usual time
    Given a cell of 2 workers
    And the clock of a worker is far ahead
    When that worker restarts under its id and answers a renewal
    And 5 s pass
    Then the worker's own lease ends within 7 s

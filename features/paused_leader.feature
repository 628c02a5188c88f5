Feature: A leader that was paused sends nothing that its successor must fear

  # Guards against two runs of one task: the successor has moved the task, its
  # former worker restarts, and takes the start of the leader that resumes.
  Scenario: A leader whose machine was suspended confirms that it still leads
    Given a leader with a run that is stored, and a renewal that was stored
    When its machine is suspended for 5 s
    And it is about to start the run
    Then the leader that resumed sends no start
    When it renews the leadership
    Then the leader that resumed sends the start

  # Guards against starts of a leader that has been succeeded meanwhile.
  Scenario: A leader that was succeeded while it was suspended starts nothing
    Given a leader with a run that is stored, and a renewal that was stored
    When its machine is suspended for 5 s
    And another node claims the leadership
    And it is about to start the run
    And it tries to renew the leadership, and is refused
    And 30 s pass at the leader that resumed
    And the term of that leader ends
    Then the leader that resumed sends no start

  # Guards against a renewal that was stored before the successor's claim, and
  # whose answer is only read after the suspension.
  Scenario: A renewal that was under way in the suspension confirms nothing
    Given a leader with a run that is stored, and a renewal that was stored
    When its machine is suspended for 5 s as the answer to a renewal comes
    And it is about to start the run
    Then the leader that resumed sends no start
    When it renews the leadership
    Then the leader that resumed sends the start

  # Guards against leases that a leader renews long after its successor counts
  # with the last of its renewals.
  Scenario: A leader that was suspended for long renews no leases
    Given a leader with a run that is stored, and a renewal that was stored
    When its machine is suspended for 9 s
    And it goes on renewing the lease of the worker for 5 s
    Then it sends no renewal of the lease
    When it renews the leadership
    And it goes on renewing the lease of the worker for 5 s
    Then it renews the lease

  # Guards against starts for a worker that has changed while they waited.
  Scenario: A worker restarts under its id while its start waits
    Given a leader with a run that is stored, and a renewal that was stored
    When its machine is suspended for 5 s
    And it is about to start the run
    And the worker of the waiting start restarts under its id
    And it renews the leadership
    Then the leader that resumed sends no start

  # Guards against starts that wait for a renewal although the last one is not
  # old, or although the leader could not send it yet.
  Scenario Outline: Starts of a leader that is not paused are hardly delayed
    Given a leader that starts a run each 37 ms, renewing regularly
    When the store takes <answer> ms for each answer for 10 s
    Then each run was started, at most <delay> ms late

    Examples:
      | answer | delay |
      | 6      | 0     |
      | 250    | 0     |
      | 500    | 100   |
      | 800    | 700   |

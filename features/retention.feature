Feature: Records of ended jobs leave the store

  Scenario: Records are dropped in two steps, the state last
    Given a cell of 2 workers
    And a job "j1" of 2 tasks that has completed
    When the leader drops what has expired after 60 s
    Then the store still has the submission of "j1"
    When the leader drops what has expired after 200 s
    Then the store has the state of "j1" and no submission
    When the leader drops what has expired after 100000 s
    Then the store has nothing of "j1"

  Scenario: A copy of a submission that comes late does not run the job again
    Given a cell of 2 workers
    And a job "j1" of 2 tasks that has completed
    When the leader drops what has expired after 200 s
    And a copy of the submission of "j1" is stored and a new leader takes over
    Then no task of "j1" starts again
    When the leader drops what has expired after 200 s
    Then the store has the state of "j1" and no submission

  Scenario: A job that has not ended keeps its records however old it is
    Given a cell of 2 workers
    And a job "j1" that is too large for any worker
    When the leader drops what has expired after 100000 s
    Then the store still has the submission of "j1"

  Scenario: A cancel of a job that was never submitted leaves the store
    Given a cell of 2 workers
    When the unknown job "j9" is cancelled
    And the leader drops what has expired after 60 s
    Then the store still has the cancel of "j9"
    When the leader drops what has expired after 200 s
    Then the store has nothing of "j9"

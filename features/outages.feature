Feature: The store is unavailable, and callers soon get a true answer

  Scenario: The store stops answering in a flood of jobs without a leader
    Given a node that stores jobs by itself, over a store
    When a job comes, the store stops answering, and then 20 jobs come in 1 s
    Then the first job is accepted
    And the others are refused as not run, each within 0.75 s
    And none of the refused jobs was sent to the store

  Scenario Outline: A job waits part of its objective for an unavailable store
    Given a node that stores jobs by itself, over a store
    When a job comes, the store stops answering, and then 20 jobs come in 1 s
    And another job comes 3 s later, with an objective of <objective> ms
    Then it is refused after <wait> ms, with a Retry-After of 3 s or more

    Examples:
      | objective | wait |
      | 400       | 100  |
      | 3000      | 750  |
      | 16000     | 1400 |

  Scenario: Non-urgent jobs outlast an outage, urgent ones are soon refused
    Given a node that stores jobs by itself, over a store
    When a job comes, the store stops answering, and then 20 jobs come in 1 s
    And an urgent and a non-urgent job come, and the store answers after 1 s
    Then the non-urgent job is accepted and the urgent one was refused

  Scenario: The store answers again, so the next job is accepted
    Given a node that stores jobs by itself, over a store
    When a job comes, the store stops answering, and then 20 jobs come in 1 s
    And the store answers again for 1 s and another job comes
    Then it is accepted

  Scenario: A write that the store stops answering has an unknown outcome
    Given a node that stores jobs by itself, over a store
    When a job comes, and the store stops answering as the next is written
    Then the caller of the next gets an unknown outcome
    And a job that came after it is refused as not run

  Scenario: Jobs that the leader has not written are withdrawn in an outage
    Given a cell of 2 workers
    When the leader accepts "j1", writes it, and accepts "j2"
    Then "j2" can be withdrawn and "j1" cannot
    And no task of "j2" starts when the leader plans

  Scenario Outline: The longer the store is unavailable, the later callers retry
    Given a store that has been unavailable for <away> s
    Then callers get a Retry-After of <least> to <most> s

    Examples:
      | away | least | most |
      | 0    | 1     | 1    |
      | 2    | 2     | 3    |
      | 30   | 5     | 5    |

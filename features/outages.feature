Feature: The store is away, and callers hear at once what is true

  Scenario: The store falls silent in a flood of jobs without a leader
    Given a node that stores jobs by itself, over a store
    When a job comes, the store falls silent, and then 20 jobs come in 1 s
    Then the first job is accepted
    And the others are refused as not run, each within 1.1 s
    And none of the refused jobs was sent to the store

  Scenario: While the store is away a job is refused without a wait
    Given a node that stores jobs by itself, over a store
    When a job comes, the store falls silent, and then 20 jobs come in 1 s
    And another job comes 3 s later
    Then it is refused within 0.1 s and asked to come back after 3 s or later

  Scenario: The store is back, so the next job is taken
    Given a node that stores jobs by itself, over a store
    When a job comes, the store falls silent, and then 20 jobs come in 1 s
    And the store answers again for 1 s and another job comes
    Then it is accepted

  Scenario: A write under way when the store falls silent has an unknown fate
    Given a node that stores jobs by itself, over a store
    When a job comes, and the store falls silent as the next is written
    Then the caller of the next is told that the outcome is unknown
    And a job that came after it is refused as not run

  Scenario: What the leader has not written is given back when the store stalls
    Given a cell of 2 workers
    When the leader accepts "j1", writes it, and accepts "j2"
    Then "j2" can be withdrawn and "j1" cannot
    And no task of "j2" starts when the leader plans

  Scenario Outline: The longer the store is away, the later callers come back
    Given a store that has been away for <away> s
    Then callers are asked to come back after <least> to <most> s

    Examples:
      | away | least | most |
      | 0    | 1     | 1    |
      | 2    | 2     | 3    |
      | 30   | 5     | 5    |

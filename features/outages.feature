Feature: The store is away, and callers hear at once what is true

  Scenario: The store falls silent in a flood of jobs without a leader
    Given a node that stores jobs by itself, over a store
    When a job comes, the store falls silent, and then 20 jobs come in 1 s
    Then the first job is accepted
    And the others are refused as not run, each within 0.75 s
    And none of the refused jobs was sent to the store

  Scenario Outline: A job waits for a store that is away for part of its time
    Given a node that stores jobs by itself, over a store
    When a job comes, the store falls silent, and then 20 jobs come in 1 s
    And another job comes 3 s later, with an objective of <objective> ms
    Then it is refused after <wait> ms, to come back after 3 s or later

    Examples:
      | objective | wait |
      | 400       | 100  |
      | 3000      | 750  |
      | 16000     | 1400 |

  Scenario: Patient jobs outlast an outage, urgent ones hear of it at once
    Given a node that stores jobs by itself, over a store
    When a job comes, the store falls silent, and then 20 jobs come in 1 s
    And an urgent and a patient job come, and the store is back after 1 s
    Then the patient job is accepted and the urgent one was refused

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

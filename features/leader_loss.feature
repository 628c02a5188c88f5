Feature: The nodes of a cell soon notice that their leader is lost

  Scenario: The leader falls silent
    Given a leader with 3 successors that hear its heartbeats
    When the leader falls silent
    Then the first successor may claim within 600 ms
    And the successors claim 25 ms apart, the fastest first

  Scenario: The leader's process ends
    Given a leader with 3 successors that hear its heartbeats
    When the leader's process ends
    Then the first successor may claim within 600 ms

  Scenario: Datagrams are lost while the leader goes on
    Given a leader with 3 successors that hear its heartbeats
    When 3 of 4 heartbeats are lost for 5 s
    Then no successor may claim

  Scenario: A connection to the leader fails while the leader goes on
    Given a leader with 3 successors that hear its heartbeats
    When the open calls to the leader fail
    Then no successor may claim

  Scenario: A successor is cut off from the leader but reads its renewals
    Given a leader with 3 successors that hear its heartbeats
    When a successor gets no datagrams and no answers for 5 s
    Then no successor may claim

  Scenario: The leader's calls to its successors fail, but it goes on
    Given a leader with 3 successors that hear its heartbeats
    When the leader reaches none of them by calls for 3 s
    Then no successor may claim

  Scenario: A node that is a successor no more waits for renewals after an outage
    Given a leader with 3 successors that hear its heartbeats
    When the store is down for 4 s, and one successor is dropped
    Then no successor may claim

  Scenario: A successor that was stopped itself does not claim
    Given a leader with 3 successors that hear its heartbeats
    When a successor is stopped for 4 s while the leader goes on
    Then no successor may claim

  Scenario: A node that never heard the leader leaves it to the store
    Given a leader with 3 successors that hear its heartbeats
    When the leader falls silent
    Then a node that never heard its heartbeats may not claim after 900 ms

  Scenario: Datagrams that are no heartbeats do not end a node
    Given a leader with 3 successors that hear its heartbeats
    When each successor gets datagrams of other software and of an old leader
    Then no successor may claim
    And the unreadable ones are counted

  Scenario: Heartbeats of a large cell go to its fastest nodes
    Given 40 nodes of unlike speed
    Then the 8 fastest are the successors, the fastest first

  Scenario Outline: A leader that lost its own path to the store steps aside
    Given a leader that lost its path to the store <lost> ms ago
    When its last stored renewal was sent <confirmed> ms ago
    Then it steps aside: <aside>

    Examples:
      | lost | confirmed | aside |
      | 500  | 100       | yes   |
      | 500  | 700       | no    |
      | 200  | 100       | no    |
      | none | 100       | no    |

  Scenario Outline: All nodes restart, and a slow one led before
    Given a node of <speed> cores that led before it restarted
    Then beside peers of "<peers>" cores it claims at once: <claims>

    Examples:
      | speed | peers   | claims |
      | 0.5   | 0.5 2.1 | no     |
      | 0.5   | 0.5     | yes    |
      | 2.1   | 0.5 2.1 | yes    |
      | 0.5   |         | yes    |

Feature: A leader hands over only to a node that is there

  # Guards against leaderships that are given up every 5 s to nodes that are
  # gone, of which there are only old records, and that nobody may claim for 6
  # s, so that all leases lapse.
  Scenario Outline: Faster nodes are gone
    Given a leader of <speed> cores, and records of "<others>" cores
    When the others are <gone>
    And its nodes run for 60 s
    Then it has led all the time

    Examples:
      | speed | others  | gone                     |
      | 0.5   | 2.1 2.1 | gone without a trace     |
      | 0.5   | 2.1 2.1 | machines without process |
      | 0.5   | 2.1 0.5 | gone without a trace     |

  Scenario: A faster node is there
    Given a leader of 0.5 cores, and records of "2.1 2.1" cores
    When one of the others is gone without a trace
    And its nodes run for 20 s
    Then the faster node that is there leads
    And there was no leader for 1 s at most

  # Guards against a node that says that it would claim, and does not.
  Scenario: No node takes what was handed over
    Given a leader of 0.5 cores, and records of "2.1" cores
    When the others answer, but never claim
    And its nodes run for 60 s
    Then there was no leader for 3 s at most
    And it has handed over 2 times at most

  # Guards against a node that has stepped down, and keeps from claiming though
  # the one that took over has stopped.
  Scenario: The node that took over stops soon, and no other is left
    Given a leader of 0.5 cores, and records of "2.1" cores
    When the others lead after it, and are stopped 1 s later
    And its nodes run for 20 s
    Then there was no leader for 3 s at most

  # Guards against members that are gone and still count: where calls go, who
  # is to lead next, how many nodes there are.
  Scenario Outline: A node drops its record as it stops
    Given a node whose record is stored
    When it drops its record <how>
    Then <result>

    Examples:
      | how                                     | result                    |
      | as it stops                             | the others have no record |
      | as another node joins                   | the others have no record |
      | by a call carried out after its restart | the others have a record  |

  # Guards against leaders whose successors are all gone: nobody hears them.
  Scenario: The fastest nodes are gone
    Given 20 nodes, of which the 8 fastest are gone
    When a leader has sent heartbeats for 3 s
    Then the 8 fastest of the others are its successors
    When the fastest nodes are back, and heartbeats go on for 20 s
    Then the 8 fastest of all are its successors

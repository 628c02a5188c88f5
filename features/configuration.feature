Feature: A node answers by a configuration that is known to be in force

  # Guards against a 404 for a route that was added long before (CONFIG).
  Scenario Outline: Paths fail at random, and no answer is by an older version
    When nodes follow a configuration while their paths fail, with seed <seed>
    Then no node in touch has answered by a version that is out of force

    Examples:
      | seed |
      | 2    |
      | 7    |
      | 20   |
      | 31   |

  # Guards against a 404 from what a node read long ago.
  Scenario: A node that reads nothing does not call an unknown queue absent
    Given two nodes that follow a configuration
    When the first is cut off, and a queue "/new/" is added
    And nothing more happens for 3 s
    Then the first node answers "/new/" with 503 and "/base/" with 200
    And it answers "/new/" with 200 in 2 s after the cut

  Scenario: A queue that no version has is absent, without a wait
    Given two nodes that follow a configuration
    When nothing more happens for 3 s
    Then the first node answers "/never/" with 404 within 0 ms

  # Guards against a node that keeps to connections which carry nothing.
  Scenario: Open connections fall silent, and new ones work
    Given two nodes that follow a configuration
    And the first has made 12 calls to the store at once
    When all open connections of the first fall silent as it loses its peers
    And the queue "/new/" is then added
    Then the first node has it in force within 2 s

  Scenario: Calls after connections were dropped use new ones
    Given a client and a server that names the connection of each call
    When it calls twice, calls singly, drops its connections during a call
    And it calls twice again
    Then the calls used connections 1, 1, 2, 1, 3 and 3

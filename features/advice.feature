Feature: Calls for advice are shared by the nodes that there are

  # Guards against queues that stand still for good: with two nodes or one,
  # all of them were reserved for short calls.
  Scenario Outline: Few nodes are left
    Given <nodes> nodes that make one call for advice at a time
    When 6 steps with calls of 600 ms wait
    Then each of them has had a call within <s> s

    Examples:
      | nodes | s |
      | 1     | 4 |
      | 2     | 4 |
      | 3     | 4 |
      | 8     | 1 |

  # Guards against long calls that are passed over for as long as short ones
  # keep all nodes busy, and against the reverse.
  Scenario Outline: Short calls keep all nodes busy
    Given <nodes> nodes that make one call for advice at a time
    When 6 steps with calls of 600 ms wait
    And more steps with calls of 20 ms wait than the nodes can call for
    Then each of them has had a call within 12 s
    And a short call begins at least each 650 ms

    Examples:
      | nodes |
      | 1     |
      | 2     |
      | 3     |
      | 8     |

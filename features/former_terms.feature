Feature: A leader finds out until when its predecessors may renew leases

  # Guards against waits for a leader that has certainly stopped.
  Scenario Outline: What shows that a former leader has stopped
    Given node "b" has led for 20 s, and node "a" claims
    When <sign>
    Then former leaders may renew leases for <s> s

    Examples:
      | sign                                             | s |
      | nothing is heard of "b"                          | 8 |
      | "b" does not answer                              | 8 |
      | "b" answers that it still leads                  | 8 |
      | "b" answers that it does not lead                | 0 |
      | "b" answers that it leads a later term           | 0 |
      | a later process of "b" answers                   | 0 |
      | the connection to "b" is refused                 | 0 |

  Scenario: A leader has released the leadership
    Given node "b" has led for 20 s, and released, and node "a" claims
    Then former leaders may renew leases for 0 s

  Scenario: The process of the own node led before
    Given node "a" has led for 20 s, and node "a" claims
    Then former leaders may renew leases for 0 s

  # Guards against a second leader that hides the first one.
  Scenario: Two leaders are lost in series
    Given node "b" has led for 20 s, and node "c" for 3 s, and node "a" claims
    Then former leaders may renew leases for 8 s
    When the connection to "c" is refused
    Then former leaders may renew leases for 5 s
    When the connection to "b" is refused
    Then former leaders may renew leases for 0 s

  # Guards against leaders of which a process that has just started has read
  # nothing, and against waits for those that led long ago.
  Scenario Outline: A process that has just started claims
    Given node "b" has led for 20 s, and node "a" for <led> s
    When node "a" restarts and claims
    Then former leaders may renew leases for <s> s

    Examples:
      | led | s |
      | 3   | 6 |
      | 20  | 0 |

  Scenario: All members say that they do not lead
    Given node "b" has led for 20 s, and node "a" for 3 s
    When node "a" restarts and claims
    And the connection to "b" is refused
    Then former leaders may renew leases for 6 s
    When "c" answers that it does not lead
    Then former leaders may renew leases for 0 s

  Scenario: The first leader of a deployment
    Given node "a" claims first
    Then there was no former leader

Feature: Calls to a peer whose connection is lost fail as such, and no more

  # Guards against a node that ends by itself since a peer has ended: grpclib
  # used a connection that was lost before it could be used.
  Scenario: A peer resets a connection as it is opened
    Given a peer on the loopback that resets each connection as it is opened
    When another node calls it
    Then the call fails as not answered, and the log names the connection
    When the peer answers, and the node calls it again
    Then the call is answered

  # Guards against errors of the library that no caller expects.
  Scenario Outline: A call to a peer that fails
    Given a peer on the loopback that <does>
    When another node calls it
    Then the call fails as <outcome>

    Examples:
      | does                               | outcome      |
      | is not there                       | not sent     |
      | never answers                      | not answered |
      | closes each connection             | not answered |
      | resets each connection on a call   | not answered |
      | ends each connection with a GOAWAY | not answered |
      | answers each call with an error    | not answered |
      | answers with something else        | not answered |

  # Guards against requests that get no answer at all: a call to a peer timed
  # out, and the time limit of the request then cancelled its whole task.
  Scenario Outline: A time limit still holds after a call to a peer has failed
    Given a peer on the loopback that <does>
    When another node calls it, and then waits within a limit of 400 ms
    Then the wait ends with a TimeoutError

    Examples:
      | does                             |
      | never answers                    |
      | closes each connection           |
      | resets each connection on a call |

  # Guards against calls that go on although nobody waits for them.
  Scenario: A call to a peer is abandoned
    Given a peer on the loopback that never answers
    When another node calls it with a limit of 50 ms
    Then the wait ends with a TimeoutError
    And no call is under way

  # Guards against calls that fail since an earlier one on a former connection
  # has failed.
  Scenario: Calls on a former connection fail after a new one was opened
    Given a peer on the loopback that answers only some calls
    When two calls are not answered, and another follows after the first
    Then that call is answered, and its connection stays open

  # Guards against faults of our own that count as a lost connection.
  Scenario: A call of an unknown method is a fault of the caller
    Given a peer on the loopback that never answers
    When another node calls a method that does not exist
    Then the call fails with an AttributeError

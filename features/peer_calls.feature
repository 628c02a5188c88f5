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

  # Guards against faults of our own that count as a lost connection.
  Scenario: A call of an unknown method is a fault of the caller
    Given a peer on the loopback that never answers
    When another node calls a method that does not exist
    Then the call fails with an AttributeError

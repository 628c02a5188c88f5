Feature: A node that stops answers what it has read, and reads no more

  # Guards against requests that are read while the tasks of the node end, and
  # then get neither an answer nor a refusal.
  Scenario: Requests arrive as a node has drained
    Given a node that drains, with 3 connections of callers
    When a request arrives in the drain and is answered late
    And requests come after it on an open connection and on a new one
    And the drain ends
    Then the first request is answered
    And the others are not read, and their connections end

  # Guards against an answer that is cut off as the connections are closed.
  Scenario: The last answer is ready as the drain ends
    Given a node that drains, with 1 connections of callers
    When a request arrives in the drain and is answered at its end
    And the drain ends
    Then the first request is answered

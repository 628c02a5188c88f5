Feature: A hundred nodes that follow one leader cost little

  Scenario: A node that follows decodes only what it is asked about
    Given a view of 200 jobs with their states, as read from the store
    When a caller asks for one of them
    Then 1 record was decoded

  Scenario: A new leader decodes all of them
    Given a view of 200 jobs with their states, as read from the store
    When a leader takes them over
    Then it has 200 jobs

  Scenario: A record that cannot be read is told once and hides no other
    Given a view of 3 jobs with their states, as read from the store
    When the state of the second is replaced by bytes that only look like one
    And a leader takes them over
    Then the log names the second job once
    And it has 3 jobs

  Scenario: Bytes that are no record leave the state as it was
    Given a view of 3 jobs with their states, as read from the store
    When the state of the second is replaced by bytes of another writer
    Then the second job is still running

  Scenario: A node on a platform starts without the parts of the other kind
    When a process imports what a node on the platform needs
    Then it has not imported the node over the project's own interfaces

  Scenario: A quiet node does not wake up to write no lines
    Given a node's output without lines
    When 10 s pass and then a line is written
    Then the output was looked at once

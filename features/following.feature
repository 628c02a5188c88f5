Feature: A hundred nodes can follow one leader at little cost

  Scenario: A follower decodes only the records that it is asked for
    Given a view of 200 jobs with their states, as read from the store
    When a caller asks for one of them
    Then 1 record was decoded

  Scenario: A new leader decodes all of them
    Given a view of 200 jobs with their states, as read from the store
    When a leader takes them over
    Then it has 200 jobs

  Scenario: An unreadable record is logged once and hides no other
    Given a view of 3 jobs with their states, as read from the store
    When the state of the second is replaced by bytes that only begin like one
    And a leader takes them over
    Then the log names the second job once
    And it has 3 jobs

  Scenario: Bytes that are no record leave the state as it was
    Given a view of 3 jobs with their states, as read from the store
    When the state of the second is replaced by bytes of another writer
    Then the second job is still running

  Scenario: A node on a platform starts without the standalone node's modules
    When a process imports what a node on the platform needs
    Then it has not imported the standalone node

  Scenario: An idle node does not wake up when there is nothing to write
    Given a node's output without lines
    When 10 s pass and then a line is written
    Then the output was flushed once

  # Guards against a process that a change of settings ends while it starts.
  Scenario: A node on a platform gets SIGHUP while it imports its modules
    When a process gets SIGHUP as it imports what a node needs
    Then it has gone on with its start

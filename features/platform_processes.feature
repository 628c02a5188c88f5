Feature: Nodes as processes on a stand-in of the users' platform

  Scenario: Jobs go on when the leader is killed
    Given three nodes and four runners on the platform's stand-in
    When 8 jobs are submitted at different nodes
    And the leading node is killed
    Then every job is shown as completed by the other nodes
    And no run of a task was started twice
    And the metrics of a node name its store calls
    And the state of the leading node names its epoch, topics and workers
    And its state goes to its log on SIGUSR1
    And a stopped node ends with status 0

  # Guards against processes that end by an entry that is nested too deeply.
  Scenario: Odd entries of another writer end no process and hide no worker
    Given three nodes and four runners on the platform's stand-in
    When another writer leaves odd entries of runners
    And the leading node is killed and starts again
    And 6 jobs are submitted at different nodes
    Then every job is shown as completed by the other nodes
    And all nodes run, and the leader names each odd entry in one line

Feature: Failures of real processes

  Scenario: A node is killed under load
    Given a deployment of 3 nodes and 6 workers
    And a steady load for 12 s
    When the process node-2 is killed after 3 s
    Then the load has run
    And only callers of node-2 lost their connection
    And nothing ran twice, and nothing reported as "not run" ran

  Scenario: A node is stopped gracefully under load
    Given a deployment of 3 nodes and 6 workers
    And a steady load for 10 s that follows readiness
    When node-1 is stopped by SIGTERM after 3 s
    Then the load has run
    And node-1 ended with status 0
    And no caller saw a failure
    And nothing ran twice, and nothing reported as "not run" ran

  Scenario: All nodes are replaced one by one under load
    Given a deployment of 3 nodes and 6 workers
    And a steady load for 22 s that follows readiness
    And a job of 4 tasks of 9000 ms over HTTP
    When every node is replaced by a new one
    Then the load has run
    And no caller saw a failure
    And the job over HTTP is done within 20 s
    And nothing ran twice, and nothing reported as "not run" ran
    And the account of all nodes adds up

  Scenario: A node is frozen past its leases and resumed
    Given a deployment of 3 nodes and 6 workers
    And a steady load for 18 s that avoids node-0
    When node-0 is frozen after 3 s for 9 s
    Then the load has run
    And every request has one outcome
    And nothing ran twice, and nothing reported as "not run" ran

  Scenario: An endpoint that is leaving gets no new work
    Given a deployment of 3 nodes and 6 workers
    And a steady load for 9 s
    When the worker that ran most is listed as leaving after 2 s
    Then that worker gets no new work 3 s later
    And the load has run
    And no caller saw a failure

  Scenario: Connections to an endpoint go silent for good
    Given a deployment of 3 nodes and 6 workers
    And worker-0 is reached through a relay
    And a steady load for 10 s at 7 times the rate
    When the relay silences all open connections after 3 s
    Then the load has run
    And every request is done
    And silent connections were found and replaced
    And nothing ran twice, and nothing reported as "not run" ran

  Scenario: Connections between nodes go silent for good
    Given a deployment of 3 nodes and 6 workers
    And node-1 is reached by its peers through a relay
    When the relay silences all open connections after 3 s
    Then all nodes see all members again within 5 s

  Scenario: The log is down for a while
    Given a deployment of 3 nodes and 6 workers
    And a steady load for 12 s
    When the log is down after 2 s for 6 s
    Then the load has run
    And every request is done
    And a keyed request is done within 5 s

  Scenario: The log hangs
    Given a deployment of 3 nodes and 6 workers
    When the log hangs after 1 s for 4 s
    Then a keyed request is done within 15 s
    And nothing ran twice, and nothing reported as "not run" ran

  Scenario: The deployment stays up until SIGTERM
    When the deployment is started to stay up
    Then it prints 3 nodes, 11 processes and ready
    And after SIGTERM it ends with status 0 and leaves no process

  Scenario: The account of the demo adds up
    When the demo runs
    Then it exits with 0 and prints that the account adds up

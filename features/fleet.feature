Feature: Takeover, handover and isolation of nodes, on a virtual clock

  Background:
    Given 3 nodes and 3 workers on a virtual clock

  Scenario: A killed owner's workers find a new owner
    Given a load of 60 requests a second for 20 s
    When the owner of worker-0 is killed after 5 s
    Then worker-0 has a new owner within 8 s
    And the callers of live nodes have one answer each
    And the workers detected no violation

  Scenario: A resumed owner does nothing under its old lease
    Given a load of 60 requests a second for 25 s
    And a job of 4 tasks of 2000 ms
    When the owner of worker-0 is paused after 1 s for 12 s
    Then worker-0 has a new owner within 8 s
    And the job ends within 40 s
    And the callers of live nodes have one answer each
    And the workers detected no violation

  Scenario: A resumed entry node starts nothing in slots that it lost
    Given a load of 60 requests a second for 25 s
    When a node that does not own worker-0 is paused after 5 s for 12 s
    Then the callers of live nodes have one answer each
    And the workers detected no violation

  Scenario: A takeover does not need the log
    Given the log is down
    And a load of 60 requests a second for 20 s
    When the owner of worker-0 is killed after 5 s
    Then worker-0 has a new owner within 8 s
    And the callers of live nodes have one answer each
    And the workers detected no violation

  Scenario: Running tasks keep their leases through an outage of the log
    Given a job of 4 tasks of 20000 ms
    When the log is down from 3 s to 45 s
    Then the job ends within 70 s
    And each task of the job ran once
    And the workers detected no violation

  Scenario: A job survives the replacement of every node
    Given a job of 4 tasks of 6000 ms
    When every node is replaced, one every 5 s
    Then the job ends within 60 s
    And the workers detected no violation

  Scenario: A restarted worker's tasks run again, once each
    Given a job of 4 tasks of 5000 ms
    When worker-0 restarts after 2 s
    Then the job ends within 60 s
    And the workers detected no violation

  Scenario: An end that the log could not store is recorded after the outage
    Given a job of 4 tasks of 20000 ms
    When the log is down from 3 s to 40 s and worker-0 restarts meanwhile
    Then the job ends within 90 s
    And the workers detected no violation

  Scenario: Of two candidate owners cut off from each other only one succeeds
    Given a load of 60 requests a second for 30 s
    When all nodes are cut off from each other from 2 s to 20 s
    Then the callers of live nodes have one answer each
    And the workers detected no violation

  Scenario: An acquire whose answer is lost
    Given a load of 60 requests a second for 20 s
    When the answers of worker-0 to its owner are lost from 3 s to 12 s
    Then worker-0 has a new owner within 20 s
    And the callers of live nodes have one answer each
    And the workers detected no violation

  Scenario: A keyed request waits out a short outage of the log
    Given the log is down
    When a keyed request with a deadline of 8 s is sent
    And the log is up after 4 s
    Then the keyed request is done

  Scenario: A keyed request is refused, not run, in a long outage of the log
    Given the log is down
    When a keyed request with a deadline of 5 s is sent
    Then the keyed request is refused, not run, after 5 s

  Scenario: A key sent again to another node gets the first outcome
    When a keyed request with a deadline of 8 s is sent
    And the same keyed request is sent to another node after 2 s
    Then both keyed requests got the same answer and one ran

  Scenario: A key sent to two nodes at once runs once, with one outcome
    When a keyed request with a deadline of 8 s is sent
    And the same keyed request is sent to another node after 0 s
    Then both keyed requests got the same answer and one ran

  Scenario: Requests without a key go on at full rate while the log is down
    Given the log is down
    And a load of 60 requests a second for 10 s
    Then all requests are done

  Scenario: Twenty gangs that contend from all nodes all run, whole
    Given 20 gangs of 3 tasks with 6000 of 8000 processors
    Then all gangs end within 120 s
    And no gang ran in part
    And the workers detected no violation

  Scenario: Small jobs cannot starve a large gang
    Given a stream of small jobs on all workers for 30 s
    When a gang of 3 tasks with 8000 of 8000 processors comes after 5 s
    Then the gang has started within 12 s

  Scenario: Urgent work starts on a full fleet
    Given 30 rosters of 1500 processors that run for 60 s
    When an urgent task of 3000 processors comes
    Then the urgent task starts within 1.8 s
    And every roster runs again in the end
    And the workers detected no violation

  Scenario: A kind takes no more of the fleet than its limit
    Given 30 rosters of 1500 processors that run for 60 s
    Then rosters use at most 60% of the processors

  Scenario: A worker that fails what it starts is quarantined and comes back
    Given worker-1 fails every task
    And 40 rosters of 100 processors that run for 1 s
    Then worker-1 is in quarantine and no other worker is
    When worker-1 is repaired
    And a roster comes every 2 s for 90 s
    Then no worker is in quarantine

  Scenario: A kind that fails everywhere puts no worker in quarantine
    Given all tasks fail on every worker
    And 40 rosters of 100 processors that run for 1 s
    Then no worker is in quarantine

  Scenario: A leaving endpoint gets no new work even from busy slots
    Given a load of 250 requests a second for 12 s
    When worker-0 is listed as leaving after 3 s on the clock
    Then worker-0 starts nothing from 3 s later on
    And the callers of live nodes have one answer each

  Scenario: Concurrent edits of the table
    When every node edits the table from the same version at once
    Then exactly one edit is accepted and the others get a conflict
    And the edit is in force on every node within 1 s

  Scenario: A table reaches a node that is cut off from the log
    When node-0 is cut off from the log
    And node-1 edits the table
    Then the edit is in force on every node within 1 s

  Scenario: A table never reverts on a node that was paused during edits
    When node-0 is paused while node-1 edits the table twice
    Then the version of the table never went down anywhere
    And the edit is in force on every node within 6 s

  Scenario: A node that starts after trimming has the whole state
    Given a job of 4 tasks of 1000 ms
    When 3 retention periods of the log pass
    And a node starts
    Then the new node has the table and the job

  Scenario: Ended jobs and keys leave the state after a day
    Given a job of 4 tasks of 1000 ms
    When a keyed request with a deadline of 8 s is sent
    Then the job ends within 20 s
    And the state holds 1 job, 0 tasks and 1 key
    When 25 hours pass on the wall clock
    Then the state holds 0 jobs, 0 tasks and 0 keys

  Scenario: Accounts of past days are merged and still add up
    Given a load of 60 requests a second for 5 s
    When 50 hours pass on the wall clock
    Then one entity has the account of the first day, and it adds up

  Scenario: A node that reaches neither log nor peers refuses new work
    When node-0 is cut off from everything but the workers
    Then node-0 refuses new work after 15 s and before workers get new owners

  Scenario Outline: An injected fault shows under a directed failure
    Given 3 nodes and 3 trusting workers on a virtual clock
    And the injected fault "<fault>"
    And a load of <rate> requests a second of <run> ms for 25 s
    When <failure>
    Then the workers detected a violation with one of 20 seeds

    Examples:
      | fault                        | rate | run  | failure                                                       |
      | slot lease counted too long  | 150  | 60   | a node is cut off from its peers after 5 s                    |
      | slot reused without a report | 4    | 9000 | a node is cut off from its peers after 3 s                    |
      | claim used before read-back  | 10   | 60   | a job comes while all nodes are cut off from each other       |

  Scenario Outline: The same failure without the fault
    Given 3 nodes and 3 <workers> on a virtual clock
    And a load of <rate> requests a second of <run> ms for 25 s
    When <failure>
    Then the callers of live nodes have one answer each
    And the workers detected no violation

    Examples:
      | workers          | rate | run  | failure                                                       |
      | trusting workers | 250  | 60   | a node is cut off from its peers after 5 s                    |
      | trusting workers | 4    | 9000 | a node is cut off from its peers after 3 s                    |
      | workers          | 250  | 60   | the owner of worker-0 is paused after 5 s for 12 s            |
      | trusting workers | 10   | 60   | a job comes while all nodes are cut off from each other       |
      | trusting workers | 250  | 60   | the owner of worker-0 is cut off from it after 5 s            |

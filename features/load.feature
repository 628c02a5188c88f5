Feature: Patterns of load, each with the rule that handles it

  Scenario: Flood of the least urgent, an urgent task comes
    Given a cell of 2 workers
    And a flood of 80 tasks of rank 2
    When the leader plans
    And an urgent job of 1 processors comes
    And the leader plans
    Then the urgent task runs

  Scenario: Flood of late jobs, one that can still be in time comes
    Given a cell of 1 workers
    And 30 jobs that are late already
    When a job comes that can still be in time
    And the leader plans
    Then its task is among those that run

  Scenario: Flood of non-urgent tasks in time, a late urgent one is still of use
    Given a cell of 1 workers
    And an urgent job that is late for 0.5 s and of use for 5.5 s more
    And a flood of 40 non-urgent tasks that are in time for 10 s
    When the leader plans
    Then the urgent task runs

  Scenario: Flood of non-urgent tasks in time, an urgent task that is of no use
    Given a cell of 1 workers
    And an urgent job that is late for 7 s and of use for 0 s more
    And a flood of 40 non-urgent tasks that are in time for 8 s
    When the leader plans
    Then the urgent task waits

  Scenario: Flood of small tasks, a wide gang waits
    Given a cell of 3 workers
    And a flood of 200 tasks of rank 2
    When the leader plans
    And a gang "g1" of 6 tasks of 5 processors comes
    And time passes until "g1" is completed
    Then the flood is not over yet

  Scenario: Cancellations in a wave free their capacity at once
    Given a cell of 2 workers
    And 20 jobs of which all that fit run
    When all but one of them are cancelled
    And 2 s pass
    Then the one that is left runs or has ended

  Scenario: Jobs that always fail do not block the others
    Given a cell of 2 workers
    And 10 jobs that fail each time
    And a job "j1" of 4 tasks and then 2 tasks
    When time passes until "j1" is completed
    Then at least 8 of the failing jobs have failed

  Scenario: A worker that fails every run gets no work for a while
    Given a cell of 2 workers
    And every run at worker "w0" fails
    And 20 jobs with 4 attempts each
    When time passes until all of them have ended
    Then at least 17 of them are completed

  Scenario: Answers are lost, so lease renewals wait only briefly for a while
    Given orders to a worker that loses the second of five answers
    When its lease is renewed, the last time 6 s after the others
    Then the waits were "0 1000 0 200 1000" ms

  Scenario: Tickets of waiting steps are renewed, refusals are kept
    Given a step that was granted 2 of 4 workers for 2000 ms
    Then after 500 ms nothing is asked
    And after 1200 ms the 2 granted workers are asked about
    And after 1900 ms no ticket is good for a start

  Scenario: A fleet too large for one call for advice
    Given a step of 3 tasks in a cell of 7 workers, for advice on 4 at a time
    When the leader asks for advice twice
    Then each of the 7 workers was asked about, the emptiest first
    And none of them counts as denied

  Scenario: Flood of steps that wait for tickets, a gang behind them fits
    Given a cell of 3 workers
    And 130 urgent jobs that wait for their tickets
    And a gang "g1" of 6 tasks of 5 processors
    When the leader plans
    Then all members of "g1" run under one run id

  Scenario: A gang that waits for capacity is logged with its reservations
    Given a cell of 3 workers
    And tasks that take 9 s
    And a flood of 60 tasks of rank 2
    When the leader plans
    And a gang "g1" of 6 tasks of 6 processors comes
    And the leader plans
    Then the log names "g1", its 6 tasks, 3 reserved workers and capacity for 0

  Scenario: Steady newer jobs that are in time, a late gang still starts
    Given a cell of 3 workers
    And tasks that take 2 s
    And a gang "g1" of 6 tasks of 7 processors that is late
    When every 200 ms a job of 3 tasks of 4 processors comes for 20 s
    Then "g1" started within 8 s

  Scenario: Steady urgent tasks, a gang that fills its workers still starts
    Given a cell of 9 workers
    And tasks that take 2 s
    And a gang "g1" of 4 tasks of 15 processors that is late
    When every 100 ms an urgent job of 1 tasks of 2 processors comes for 20 s
    Then "g1" started within 8 s

  Scenario: Workers of three speeds, urgent tasks go to the fast ones
    Given a cell of 9 workers
    And each third worker takes 0.8 times as long, each third 1.25 times
    When every 100 ms an urgent job of 3 tasks of 1 processors comes for 20 s
    Then in the last 5 s all urgent tasks ran at the fast workers

  Scenario: Workers of three speeds, non-urgent tasks go to the slow ones
    Given a cell of 9 workers
    And each third worker takes 0.8 times as long, each third 1.25 times
    When every 100 ms a job of 3 tasks of 1 processors comes for 20 s
    Then in the last 5 s all tasks ran at the slow workers

  Scenario: A new leader starts with its predecessor's speed estimates
    Given a cell of 9 workers
    And each third worker takes 0.8 times as long, each third 1.25 times
    When every 100 ms an urgent job of 3 tasks of 1 processors comes for 20 s
    And another leader takes over
    And every 100 ms an urgent job of 3 tasks of 1 processors comes for 2 s
    Then in the last 2 s no urgent task ran at a slow worker

  Scenario: A worker that was suspected as slow gets non-urgent tasks first
    Given a cell of 4 workers
    And the speeds of all workers but "w0" are known to be typical
    When an urgent step that is not for exploring looks for a worker
    Then it is not given "w0"
    When a non-urgent step looks for a worker
    Then it is given "w0"

  Scenario: Speed estimates that cannot be read are measured again
    Given a cell of 3 workers
    When the speeds in the store are replaced by unreadable bytes
    And another leader takes over
    Then it leads, and all speeds are unknown

  Scenario: A worker becomes slow, so others get its tasks
    Given a cell of 4 workers
    When every 100 ms an urgent job of 2 tasks of 3 processors comes for 10 s
    And worker "w0" takes 6 times as long
    And every 100 ms an urgent job of 2 tasks of 3 processors comes for 10 s
    Then the log reports that "w0" is suspected of being slow
    And in the last 2 s at most 1 task in 10 was started at "w0"

  Scenario: Short calls for advice are made by fast nodes, long ones by slow ones
    Given 3 small nodes of 0.5 cores and a node "big" of 2.1
    When the leader asks for 2 steps of 9 ms and then 1 step of 500 ms
    Then the nodes that asked are the leader, "big" and a small one

  Scenario: Nodes do not answer, so a short call for advice soon goes elsewhere
    Given 11 nodes of one speed beside the leader
    When all of them are silent and 2 steps with calls of 9 ms wait
    Then the node that was asked has 500 ms to answer

  Scenario: A node that keeps failing is asked at growing intervals
    Given a peer that has failed 3 times
    Then it is no candidate for 8 s, but reachable after 2 s
    And one answer makes it a candidate again

  Scenario: Flood of steps with long calls for advice, short calls go on
    Given 11 nodes of one speed beside the leader
    When 40 steps with calls of 500 ms wait, and 3 with calls of 9 ms come
    Then all 3 short calls are under way at once

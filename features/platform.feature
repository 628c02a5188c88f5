Feature: The adapter and the agreement of nodes over the platform's store

  Scenario: The newest records are read page by page
    Given the platform's store
    When 8 records with keys are appended
    Then the newest of each key are returned with the end offset

  Scenario: A conditional append fails once another node has appended
    Given the platform's store
    When two nodes append at the same end
    Then one of them gets a conflict with the end offset and stores nothing

  Scenario: One of two claimants leads, with the offset as epoch
    Given the platform's store
    And two nodes that follow the lead topic
    When both claim the leadership
    Then both see the same leader and epoch

  Scenario: A silent leader is replaced, a renewing one is not
    Given the platform's store
    And two nodes that follow the lead topic
    And the first node leads
    When the nodes follow for 1 s and the leader renews
    And the nodes follow for 1 s
    Then the second node may not claim the leadership
    When the nodes follow for 2 s
    Then the second node may claim the leadership

  Scenario: A leader gets time to renew after an outage of the store
    Given the platform's store
    And two nodes that follow the lead topic
    And the first node leads
    When the store is unavailable for 4 s
    Then the second node may not claim the leadership

  Scenario: A release is not lost to a renewal sent at the same time
    Given the platform's store
    And two nodes that follow the lead topic
    And the first node leads
    When it renews and releases at the same time
    Then the second node may claim the leadership

  Scenario: A write whose answer is lost is stored once
    Given the platform's store
    And a journal of epoch 5
    When a batch is written and 2 answers are lost
    Then the state topic holds it once

  Scenario: A write that is carried out late is stored once
    Given the platform's store
    And a journal of epoch 5
    When a batch is written late and another follows
    Then the state topic holds both once and in order

  Scenario: A former leader's late write is refused
    Given the platform's store
    And a journal of epoch 5
    When a journal of epoch 9 is opened
    And the first journal writes a batch
    Then the write is fenced

  Scenario: A follower that missed dropped history reads the newest again
    Given the platform's store
    And a follower of a topic
    When records are written and the history is dropped
    Then the follower has the newest of each key

  Scenario: A node that the store refuses uses a peer as relay
    Given the platform's store
    And a node that the store refuses, with a peer
    When it appends a record
    Then the record is stored and the peer has sent it

  Scenario: A node uses the store again soon after it came back
    Given the platform's store
    And a node that the store refuses, with a peer
    When the store serves it again
    Then the node reaches the store by itself

  Scenario: Nothing is stored while the store is down, and callers are told
    Given the platform's store
    When the store is down and a job is submitted
    Then the caller gets the answer that it was not stored

  Scenario: A write of unknown outcome is never reported as "not run"
    Given the platform's store
    When answers are lost and a job is submitted
    Then the caller gets the answer that the outcome is unknown

  Scenario Outline: What the leader may have stored is never called "not run"
    Given the platform's store
    When the store is down and the leader answers "<answer>" to a job
    Then the caller gets the error "<kind>"

    Examples:
      | answer  | kind            |
      | no      | log-unavailable |
      | unknown | outcome-unknown |

  Scenario Outline: A malformed job is refused with its reason
    When a job "<body>" is decoded
    Then it is refused and the reason names "<reason>"

    Examples:
      | body                                        | reason        |
      | {"phases":[]}                               | phases        |
      | {"phases":[{"count":0}]}                    | count         |
      | {"phases":[{"count":1,"after":[3]}]}        | after         |
      | {"phases":[{"count":1,"after":[0]}]}        | cycle         |
      | {"phases":[{"count":"x"}]}                  | count         |
      | {"phases":[{"count":1,"cpu":-5}]}           | cpu           |
      | {"phases":[{"count":1,"anti_affinity":-1}]} | anti_affinity |
      | {"phases":[{"count":1},{"count":0}]}        | phases[1]     |
      | {"phases":[{"count":1}],"repeats":-1}       | repeats       |
      | [1,2]                                       | object        |
      | {"phases                                    | truncated     |

  Scenario Outline: Callers get a job's state in the platform's terms
    When a caller asks for a job that is <phase>
    Then the answer is <status> with <body>

    Examples:
      | phase     | status | body                   |
      | queued    | 200    | {"state": "queued"}    |
      | running   | 200    | {"state": "running"}   |
      | completed | 200    | {"state": "completed"} |
      | failed    | 200    | {"state": "failed"}    |
      | canceled  | 200    | {"state": "canceled"}  |
      | unknown   | 410    | {}                     |

  Scenario: No module outside the adapter uses names of the platform's interface
    Then no module outside the adapter has a string of the platform's interface

  Scenario: Entries of other writers name no worker and change nothing
    When entries with missing, mistyped and unreadable fields are decoded
    Then none of them names a worker

  Scenario: A configuration never goes back
    When versions 3, 7 and 5 are put in force
    Then version 7 stays in force and its queues are found by longest prefix

  Scenario: A wrong settings file is refused with one clear reason
    When a settings file without its internal ports is read
    Then the reason names "internal_port_range"

  Scenario: A lookup that needs a fresh read does not wait for a long poll
    Given a node that follows the intake by a long poll that nothing ends
    When a caller asks for a job that the node does not have
    Then a read that does not wait is sent for the caller

  Scenario: A job that only the leader stored is found without the leader
    Given a node that has read the store, and a leader that does not answer
    When the leader stores a job and a caller asks the node for it at once
    Then the node finds the job

  Scenario: A node on a slow link that fell behind catches up in small reads
    Given a node on a link that loses each answer of over 300 KB
    When 900 KB are written to a topic that the node follows
    Then the node has read them after a few reads without a pause

  Scenario: Records of wide jobs are kept small
    Given the record of a job of 60 tasks that run
    Then its bytes are at most half of what they hold, and are read back
    And damaged bytes are refused

  # Guards against tasks that run twice: a full page of ends tells nothing of
  # the runs that it lacks.
  Scenario Outline: A worker's list of ends is complete if it is not full
    When a worker answers a renewal with <ends> ends, the last one first
    Then the list is complete: <complete>
    And the ends are in the order of their numbers

    Examples:
      | ends | complete |
      | 0    | yes      |
      | 499  | yes      |
      | 500  | no       |

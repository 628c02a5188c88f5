Feature: The whole path through real processes

  Background:
    Given the shared deployment

  Scenario: A request is answered whole
    When a caller sends {"kind": "glyph-preview", "team": "ficha", "deadline_ms": 2000, "idempotent": true, "payload": {"run_ms": 5, "echo": ["whole", 1]}}
    Then the status is 200 and the body has "outcome" as "done"
    And the result is {"echo": ["whole", 1]}

  Scenario: A request whose runner fails did run
    When a caller sends {"kind": "glyph-preview", "team": "ficha", "deadline_ms": 2000, "idempotent": true, "payload": {"run_ms": 5, "echo": "fail"}}
    Then the status is 502 and the body has "ran" as "yes"

  Scenario: Concurrent answers reach the right callers
    When 200 requests with different answers are sent at once through all nodes
    Then each caller has the whole answer to its own request

  Scenario Outline: Bad input gets a clear error and did not run
    When a caller sends <body>
    Then the status is <status> and the body has "error" as "<error>"
    And the body has "ran" as "no"

    Examples:
      | body | status | error |
      | {broken | 400 | bad-request |
      | [] | 400 | bad-request |
      | {"kind": "none", "team": "ficha", "deadline_ms": 1, "idempotent": true, "payload": 1} | 422 | unknown-kind |
      | {"kind": "renewal", "team": "ficha", "deadline_ms": 1, "idempotent": true, "payload": 1} | 400 | bad-request |
      | {"kind": "renewal", "team": "kilima", "deadline_ms": -5, "idempotent": true, "payload": 1} | 400 | bad-request |
      | {"kind": "renewal", "team": "kilima", "deadline_ms": 0, "idempotent": true, "payload": 1} | 400 | bad-request |
      | {"kind": "renewal", "team": "kilima", "deadline_ms": 9e99, "idempotent": true, "payload": 1} | 400 | bad-request |
      | {"kind": "renewal", "team": "kilima", "deadline_ms": "1", "idempotent": true, "payload": 1} | 400 | bad-request |
      | {"kind": "renewal", "team": "kilima", "deadline_ms": 1, "payload": 1} | 400 | bad-request |

  Scenario Outline: A job that makes no sense or can never run is refused at once
    When a caller submits a <gang> job of <count> tasks with <cpu> processors, <memory> MB and <accelerators> accelerators
    Then the status is <status> and the body has "error" as "<error>"

    Examples:
      | gang  | count | cpu    | memory | accelerators | status | error          |
      | plain | 1     | 17000  | 10     | 0            | 422    | impossible-job |
      | plain | 1     | 1000   | 65000  | 0            | 422    | impossible-job |
      | plain | 1     | 1000   | 10     | 3            | 422    | impossible-job |
      | gang  | 7     | 16000  | 10     | 0            | 422    | impossible-job |
      | gang  | 5     | 16000  | 10     | 0            | 422    | impossible-job |
      | gang  | 6     | 12900  | 10     | 0            | 422    | impossible-job |
      | plain | 1     | -5     | 10     | 0            | 400    | bad-request    |
      | plain | 1     | 0      | 10     | 0            | 400    | bad-request    |
      | plain | 0     | 10     | 10     | 0            | 400    | bad-request    |
      | plain | 501   | 10     | 10     | 0            | 400    | bad-request    |

  Scenario: A gang job is accepted once and ends
    When a caller submits a gang job of 6 tasks with 9000 processors, 10 MB and 0 accelerators
    Then the status is 202
    And the job is done within 10 s on every node

  Scenario: A job sent again with its key is the same job
    When a caller submits the same job twice with one key
    Then both answers name the same job

  Scenario: A cancelled job's tasks stop
    When a caller submits a job of 60 s and cancels it
    Then the job is cancelled and no worker runs it after 5 s

  Scenario Outline: Heads, sizes and slow clients are bounded
    When a client sends <what>
    Then the raw answer begins with "<answer>"
    And the connection is closed

    Examples:
      | what                        | answer       |
      | no Host                     | HTTP/1.1 400 |
      | a head of 20000 bytes       | HTTP/1.1 431 |
      | 400 headers of 100 bytes    | HTTP/1.1 431 |
      | a body of 300000 bytes      | HTTP/1.1 413 |
      | a length of 99999999999     | HTTP/1.1 413 |
      | a length of -1              | HTTP/1.1 400 |
      | two lengths                 | HTTP/1.1 400 |
      | half a head and then nothing| HTTP/1.1 408 |
      | half a body and then nothing| HTTP/1.1 408 |
      | garbage                     | HTTP/1.1 400 |

  Scenario: Two requests at once on one connection cannot cross
    When a client sends two requests without waiting for the first answer
    Then the first is answered and the connection is closed

  Scenario: Half-open connections are bounded in number
    When 130 clients connect and send nothing
    Then a node still answers others and at most 120 stay connected

  Scenario: Concurrent edits over HTTP
    When two operators edit the table from the same version
    Then one has status 200 and the other 409 and "conflict"

  Scenario: An edit that is not valid changes nothing
    When an operator sets "weight" to "-1"
    Then the status is 422 and the body has "error" as "invalid-row"

  Scenario: The dump of a node's state, on request and by signal
    When SIGUSR1 is sent to node-1
    Then its dump names the node and has the fields of /v1/state

  Scenario Outline: The command line
    When an operator runs "<command>"
    Then the exit status is <status> and the output has "<text>"

    Examples:
      | command                              | status | text            |
      | table show                           | 0      | longest_wait_ms |
      | --json table show                    | 0      | "version"       |
      | table diff standins/table.csv        | 0      | column          |
      | table set roster weight=2            | 0      | 3 of 3          |
      | table diff standins/table.csv        | 1      | weight          |
      | table apply standins/table.csv       | 0      | 3 of 3          |
      | table set roster weight=many         | 1      | weight          |
      | table set none weight=1              | 1      | none            |
      | status                               | 0      | westlands       |
      | state node-2                         | 0      | fleet_slots     |
      | state node-9                         | 1      | node-9          |
      | job show none                        | 1      | not-found       |
      | account                              | 0      | difference      |
      | account --from=x                     | 1      | from            |
      | nonsense                             | 2      | table apply     |

  Scenario: A job from the command line
    When an operator submits a job, shows it and cancels it
    Then the exit statuses are 0, 0, 0

Feature: A malformed message fails a call, never the process

  Scenario Outline: The store answers with bytes that cannot be read
    When the store answers a <call> with "<bytes>"
    Then the call fails with a store error

    Examples:
      | call   | bytes                                          |
      | append | {"offset":"x"}                                 |
      | append | {"off                                          |
      | newest | {"items":[{"key":1}],"end_offset":0}           |
      | newest | {"items":[{"key":"k","offset":0,"value":"%"}]  |
      | read   | short                                          |

  Scenario: A read that is cut short skips no record
    When the store answers a read with a record of 9 bytes that has 4
    Then the call fails with a store error

  Scenario Outline: A worker answers with lists that cannot be read
    When a worker answers a lease renewal with <lists>
    Then the call fails with a worker error

    Examples:
      | lists                                |
      | "running":[["j1.0.0.0"]]             |
      | "running":[[7,1,"",100]]             |
      | "running":[["j1.0.0.0","x","",100]]  |
      | "running":[["j1.0.0.0",1,"","fast"]] |
      | "ended":[[1,"j1.0.0.0",1]]           |
      | "ended":[["x","j1.0.0.0",1,"done"]]  |
      | "ended":7                            |

  Scenario: A usage that is no number leaves its run as it is
    When a worker answers a lease renewal with "running":[["j1.0.0.0",1,"",100,"hot"]]
    Then the run is listed with a usage of 0

  Scenario Outline: A worker names a task that no job has
    Given a cell of 2 workers
    And a job "j1" of 4 tasks and then 2 tasks
    When worker "w0" lists "<name>" as running and as ended
    Then the leader stops it there and goes on

    Examples:
      | name        |
      | j1          |
      | j1.0        |
      | j1.0.0.99   |
      | j1.0.9.0    |
      | j1.5.0.0    |
      | j1.0.0.-1   |
      | j1.0.0.²    |
      | j1.a.b.c    |
      | j1.0.0.0.0  |
      | .0.0.0      |

  Scenario Outline: A caller's deadline that is no number
    When a caller gives a deadline of "<time>" ms
    Then its deadline is 3000 ms

    Examples:
      | time |
      | ²    |
      | -5   |
      | 1e3  |
      | 11111111111111111111 |

  # Guards against a process that ends by one caller's header.
  Scenario: A caller's deadline of 5000 digits
    When a caller gives a deadline of 5000 digits
    Then its deadline is 3000 ms

  Scenario: A request that raises an unexpected error fails alone
    Given a frontend whose queues raise an error
    When a caller asks for a job
    Then the frontend has logged the request and goes on serving

  Scenario: A job with a negative target is refused with its reason
    When a job with a latency target of -1 ms is checked
    Then it is refused for its "latency_target_ms"

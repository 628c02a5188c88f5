Feature: Bytes of another writer are logged, name nothing and stop nothing

  # Guards against processes that end, or stop reading, by one odd entry.
  Scenario Outline: One odd entry among those of the workers
    Given a list of workers with entries of "w1" and "w3"
    And another writer's entry "w2" between them: <entry>
    When a leader reads the list, and a new leader after a restart
    Then each knows "w1" and "w3" alone
    And each has logged one line about "w2" that names a fault

    Examples:
      | entry                                |
      | an unknown field nested 100000 deep  |
      | labels nested 100000 deep            |
      | 100000 open brackets                 |
      | port 0                               |
      | port 99999                           |
      | port ²                               |
      | port of 5000 digits                  |
      | host 10.0.0.1/x                      |
      | host 10.0.0 1                        |
      | host with a null character           |
      | host example                         |
      | cpu 1e30                             |
      | cpu of 31 digits                     |
      | cpu of 5000 digits                   |
      | cpu -5                               |
      | cpu 1e400                            |
      | born -1                              |
      | born 18446744073709551615            |
      | clock_ms 9223372036854775807          |
      | remaining_ms -1                      |
      | a service of 100000 characters       |
      | bytes that are no UTF-8              |
      | no bytes of JSON                     |

  # Guards against a configuration that stays in force unseen, or for good.
  Scenario Outline: One odd record of the configuration
    Given a configuration of version 1 that a node follows
    When another writer stores a configuration with <fault>
    And a configuration of version 2 is stored
    Then version 2 is in force
    And one line has been logged about "config" that names a fault

    Examples:
      | fault                                |
      | an unknown field nested 100000 deep  |
      | routes nested 100000 deep            |
      | a version of 31 digits               |
      | a version of -7                      |
      | no routes                            |
      | a stretch_factor of 1e400            |
      | bytes that are no UTF-8              |

  # Guards against "outcome unknown" for a job that certainly does not run.
  Scenario Outline: A caller's job that cannot be read is refused as such
    When a caller submits a job with <fault>
    Then it is refused as a bad request

    Examples:
      | fault                                |
      | an unknown field nested 100000 deep  |
      | after nested 100000 deep             |
      | a cpu of 31 digits                   |
      | a start_ms of 31 digits              |
      | bytes that are no UTF-8              |

  Scenario Outline: An answer that is nested too deeply is no answer
    When the <service> answers with an unknown field nested 100000 deep
    Then the call fails as one without a usable answer

    Examples:
      | service |
      | store   |
      | worker  |
      | advice  |

  Scenario Outline: A record of our own topics that another writer has stored
    When a record of a <kind> holds <bytes>
    Then it cannot be read, in less than 50 MB

    Examples:
      | kind       | bytes                       |
      | job        | arrays nested 100000 deep   |
      | job        | zlib data of 1 GB           |
      | submission | zlib data that are cut short |
      | member     | a port of 99999             |
      | member     | a host with a slash         |
      | cancel     | a time of 5000 digits       |

  Scenario: Random entries name a worker that can be called, or fail
    When 400 random entries are decoded
    Then each names a worker at an address, or raises ValueError

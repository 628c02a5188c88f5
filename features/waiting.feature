Feature: No job waits for ever behind one that cannot run

  # Guards against a gang without room that reserves the workers for good
  # (review, case 3).
  Scenario: A gang for which services leave no room blocks no other job
    Given a cell of 4 workers
    And a service "s1" of 4 tasks of 4 processors, 1 on a worker
    And a gang "g1" of 4 tasks of 14 processors
    When 9 s pass
    And jobs of 1 task of 1 processor come for 20 s, each 500 ms
    Then each of them started within 1 s

  Scenario: The same gang starts once the service is cancelled
    Given a cell of 4 workers
    And a service "s1" of 4 tasks of 4 processors, 1 on a worker
    And a gang "g1" of 4 tasks of 14 processors
    When 2 s pass
    And "s1" is cancelled
    And jobs of 1 task of 1 processor come for 10 s, each 50 ms
    Then "g1" has started

  Scenario Outline: Gangs that get no room for other reasons only delay others
    Given a cell of 4 workers
    And a task that takes 600 s on each worker
    And <gangs> gangs of 4 tasks of 16 processors
    When jobs of 1 task of 1 processor come for 60 s, each 500 ms
    Then each of them started within 4 s
    And half of them started within 1 s

    Examples:
      | gangs |
      | 1     |
      | 2     |
      | 12    |

  # Guards against a mend of case 3 by which gangs starve instead.
  Scenario Outline: A gang gets room under steady small jobs
    Given a cell of 4 workers
    And jobs of 1 task of 1 processor that take <work> ms, each <interval> ms
    And 12 s pass with them
    And a gang "g1" of <count> tasks of 7 processors
    When they go on for <seconds> s
    Then "g1" has started

    Examples:
      | work  | interval | count | seconds |
      | 1000  | 25       | 6     | 4       |
      | 1000  | 25       | 8     | 4       |
      | 6000  | 130      | 4     | 8       |
      | 6000  | 130      | 8     | 60      |
      | 12000 | 300      | 6     | 90      |

  Scenario: Without reservations the same gang does not start
    Given a cell of 4 workers
    And gangs that reserve nothing
    And jobs of 1 task of 1 processor that take 1000 ms, each 25 ms
    And 12 s pass with them
    And a gang "g1" of 6 tasks of 7 processors
    When they go on for 20 s
    Then "g1" has not started

  Scenario: The reservation of one service expires beside those of another
    Given gangs of two services that do not fit, each with 3 workers
    When plans ask for both for 8 s, and gangs of the first start all the time
    Then the reservation of the second service has expired

  # Guards against plans that end at the steps in front (review, case 4).
  Scenario: Jobs for a kind of worker that is gone block no other job
    Given a cell of 4 workers
    And 200 jobs of 1 task that need the label "gone"
    When 30 s pass
    And jobs of 1 task of 1 processor come for 10 s, each 100 ms
    Then each of them started within 1 s

  Scenario: Jobs of many sizes that are too large now block no other job
    Given a cell of 4 workers
    And a task that takes 600 s on each worker
    And 200 jobs of 1 task that need 14500 and more CPU millis
    When 30 s pass
    And jobs of 1 task of 1 processor come for 10 s, each 100 ms
    Then each of them started within 1 s

  Scenario: Jobs with tickets for a full worker only block no other job
    Given a cell of 4 workers
    And a task that takes 600 s on each worker
    And 400 jobs of 16 processors with tickets for all workers
    When 30 s pass
    And jobs of 1 task of 1 processor come for 10 s, each 100 ms
    Then each of them started within 3 s

  Scenario: What fits is found, whatever waits in front
    Given 60 random cells of 3 to 40 workers with 700 waiting steps
    When each of them is planned 40 times
    Then no step that fits is left waiting

  # Guards against a start that waits for a round over all that cannot run
  # (review, case 4, and its related paths).
  Scenario Outline: However many jobs cannot run, each that fits starts
    Given a cell of 8 workers
    And the worker of kind "b" filled by a service
    And <count> jobs that cannot run, for <cause>
    And 100 ms pass
    When jobs of 1 task of 1 processor come for 4 s, each 200 ms
    Then each of them started within 0.2 s

    Examples:
      | count | cause              |
      | 3000  | a full kind        |
      | 3000  | sizes              |
      | 600   | spread             |
      | 600   | gangs              |
      | 600   | tickets            |
      | 600   | a full kind, urgent |

  Scenario Outline: What cannot run has no other job refused
    Given a cell of 8 workers
    And the worker of kind "b" filled by a service
    And 300 jobs that cannot run, for <cause>
    When the leader plans
    Then a job of 1 task is admitted
    And a job of 1 task for each idle worker is admitted

    Examples:
      | cause       |
      | a full kind |
      | sizes       |
      | gangs       |
      | spread      |
      | tickets     |

  # Guards against a predicted wait that lays work for some workers over all.
  Scenario: Work for the one worker with accelerators delays no other job
    Given a cell of 8 workers
    And a worker with 4 accelerators
    And a task of 16 processors that takes 600 s on each worker
    And 300 jobs that cannot run, for accelerators
    When the leader plans
    Then a job of 1 task is admitted
    And a job with an accelerator is refused

  Scenario: A job that fits nowhere now is refused by the work ahead of it
    Given a cell of 8 workers
    And the worker of kind "b" filled by a service
    And 300 jobs that cannot run, for a full kind
    When the leader plans
    Then a job for the full kind is refused

  # Guards against a search for gangs that always ends at the same ones.
  Scenario: Many gangs that nearly fit keep none waiting that fits
    Given a cell of 40 workers
    And a task of 8 processors that takes 600 s on each worker
    And 1000 urgent gangs of different forms that nearly fit
    When an urgent gang "g1" of 40 tasks of 4 processors comes
    And 2 s pass
    Then "g1" has started

  Scenario: One plan places all that fits, whatever waits
    Given 60 random cells of 3 to 40 workers with 700 mixed waiting steps
    When each of them is planned 1 times
    Then no step that fits is left waiting

  Scenario: Work for a kind of worker that is gone counts for no other job
    Given a cell of 4 workers
    And 200 jobs of 1 task that need the label "gone"
    When the leader plans
    Then a job of 1 task is admitted

  # Guards against calls for advice that only those make which cannot run.
  Scenario: Jobs that have had their tickets often leave calls to others
    Given a cell of 4 workers
    And a task that takes 600 s on each worker
    And 30 jobs of 16 processors that need advice
    When one call for advice a time is answered for 45 s
    And a job "j1" of 1 processor that needs advice comes
    And one call for advice a time is answered for 4 s
    Then "j1" has started

  # Guards against jobs that are accepted, and then stand still beside idle
  # workers until their turn for a call for advice comes.
  Scenario Outline: Calls for advice are scarcer than workers
    Given a cell of 4 workers
    And <nodes> node that makes calls for advice of 500 ms
    And 30 jobs that need such a call
    Then a further such job is <decision>
    And a more urgent one is admitted
    And a job of 1 task is admitted

    Examples:
      | nodes | decision |
      | 1     | refused  |
      | 8     | admitted |

  # Guards against steps that never have a call: those that are late come after
  # all others, and others come as fast as calls are made.
  Scenario: A step that is late still has its call for advice
    Given a cell of 4 workers
    And a job "late" that needs advice and is late by far
    When a job that is in time comes for each call for 4 s
    Then "late" has started

Feature: One leader schedules the tasks of a cell

  Scenario: A job of two steps runs in order to its end
    Given a cell of 3 workers
    And a job "j1" of 4 tasks and then 2 tasks
    When time passes until "j1" is completed
    Then no task of the second step began before the first was done

  Scenario: A gang starts as a whole, under one run id
    Given a cell of 3 workers
    And a gang "g1" of 6 tasks of 6 processors
    When the leader plans
    Then all members of "g1" run under one run id

  Scenario: A gang that does not fit starts no part
    Given a cell of 3 workers
    And a gang "g1" of 7 tasks of 8 processors
    When the leader plans
    Then nothing runs

  Scenario: A gang that needs the urgent rank's headroom still runs
    Given a cell of 1 workers
    And a gang "g1" of 2 tasks of 8 processors
    When time passes until "g1" is completed
    Then nothing is left at the workers

  Scenario: Two gangs that can never fit do not block other jobs
    Given a cell of 3 workers
    And a gang "g1" of 7 tasks of 8 processors
    And a gang "g2" of 7 tasks of 8 processors
    And a job "j1" of 4 tasks and then 2 tasks
    When time passes until "j1" is completed
    Then nothing is left at the workers

  Scenario: A gang whose limit per worker cannot be met blocks no other job
    Given a cell of 3 workers
    And a gang "g1" of 6 tasks, at most 1 on a worker
    And a gang "g2" of 6 tasks, at most 1 on a worker
    And a job "j1" of 4 tasks and then 2 tasks
    When time passes until "j1" is completed
    Then nothing is left at the workers

  Scenario: A new leader adopts the running tasks
    Given a cell of 3 workers
    And a job "j1" of 4 tasks and then 2 tasks
    And the leader has started them
    When another leader takes over
    And time passes until "j1" is completed
    Then each task was started once

  Scenario: A start that comes after a takeover does nothing
    Given a cell of 3 workers
    And a job "j1" of 4 tasks and then 2 tasks
    And the leader has stored but not sent their starts
    When another leader takes over
    And the late starts arrive
    And time passes until "j1" is completed
    Then no task ran in two places at once

  Scenario: A start without an answer is refused for good before a retry
    Given a cell of 3 workers
    And a job "j1" of 4 tasks and then 2 tasks
    When the starts are lost on their way
    And the leader has found that no worker lists them
    And the lost starts arrive late
    Then no task ran in two places at once
    When time passes until "j1" is completed
    Then nothing is left at the workers

  Scenario: An unreachable worker keeps its tasks until its lease expires
    Given a cell of 2 workers
    And a job "j1" of 4 tasks and then 2 tasks
    And tasks that take 60 s
    And the leader has started them
    And the leader has led for 5 s
    When a worker is cut off for 5 s
    Then its tasks run nowhere else
    When it stays cut off for 3 s more
    Then its tasks run elsewhere
    And no task ran in two places at once

  Scenario: A worker that restarts under its id does not run a task twice
    Given a cell of 2 workers
    And a job "j1" of 4 tasks and then 2 tasks
    And tasks that take 60 s
    And the leader has stored but not sent their starts
    When a worker restarts under the same id
    And the late starts arrive
    And 8 s pass
    Then no task ran in two places at once

  Scenario: A task that fails as often as its queue allows fails its job
    Given a cell of 3 workers
    And a job "j1" of 4 tasks and then 2 tasks
    And every run of task "j1.0.0.0" fails
    When time passes until "j1" is failed
    Then task "j1.0.0.0" was started 2 times
    And nothing is left at the workers

  Scenario: A failed run of a gang counts once
    Given a cell of 3 workers
    And a gang "g1" of 6 tasks of 6 processors
    And the first run of "g1" fails in two members
    When time passes until "g1" is completed
    Then nothing is left at the workers

  Scenario: A cancelled job stops and is not restarted by a late submission
    Given a cell of 3 workers
    And a job "j1" of 4 tasks and then 2 tasks
    And tasks that take 60 s
    And the leader has started them
    When "j1" is cancelled
    And 2 s pass
    Then nothing is left at the workers
    When its submission arrives once more at a new leader
    And 2 s pass
    Then nothing is left at the workers

  Scenario: A new leader finds a run that started at a worker's next incarnation
    Given a cell of 1 workers
    And a job "j1" of 1 tasks and then 1 tasks
    And tasks that take 60 s
    And the leader has stored but not sent their starts
    When a worker restarts under the same id, unlisted
    And the late starts arrive
    And another leader takes over
    Then the leader counts the capacity used by the runs there
    And each task was started once

  Scenario: Untracked runs use capacity until they have stopped
    Given a cell of 1 workers
    And a job "j1" of 3 tasks and then 1 tasks
    And tasks that take 60 s
    And the leader has started them
    When a leader takes over without the records of their placement
    Then the leader counts the capacity used by the runs there

  Scenario Outline: A leader detects that its own process is too slow
    When an event loop is <late> ms late in <iterations> iterations
    Then the node counts as slow: <slow>

    Examples:
      | late | iterations | slow |
      | 5    | 200        | no   |
      | 4000 | 1          | no   |
      | 120  | 4          | no   |
      | 120  | 20         | yes  |

  Scenario Outline: Fast nodes lead, and slow ones only in their absence
    Given a leader of <speed> cores that has led for <term> ms
    And its peers have "<peers>" cores
    Then it stays: <stays>, and waits <wait> ms before it claims

    Examples:
      | speed | term  | peers     | stays | wait |
      | 0.5   | 6000  | 0.5 2.1   | no    | 300  |
      | 0.5   | 4000  | 0.5 2.1   | yes   | 300  |
      | 0.5   | 60000 | 0.5 0.6   | yes   | 0    |
      | 2.1   | 60000 | 0.5 2.1   | yes   | 0    |
      | 0.5   | 60000 |           | yes   | 0    |

  Scenario: The lease of a lost worker expires while the leader goes on calling
    Given a leader that has renewed the lease of a worker
    When 4 calls in 6 s are not answered
    Then the worker's lease counts as expired
    And none of the unanswered calls but the first renewed it

  Scenario: One unanswered call does not end a lease
    Given a leader that has renewed the lease of a worker
    When 1 calls in 1 s are not answered
    And the next 2 are answered
    Then the last of them renewed the lease

Feature: One leader decides a cell

  Scenario: A job of two steps runs in order to its end
    Given a cell of 3 workers
    And a job "j1" of 4 tasks and then 2 tasks
    When time passes until "j1" is completed
    Then no task of the second step began before the first was done

  Scenario: A gang starts whole, with one run number
    Given a cell of 3 workers
    And a gang "g1" of 6 tasks of 6 processors
    When the leader plans
    Then all members of "g1" run under one number

  Scenario: A gang that does not fit starts no part
    Given a cell of 3 workers
    And a gang "g1" of 7 tasks of 8 processors
    When the leader plans
    Then nothing runs

  Scenario: A gang that fits only without the urgent rank's share runs
    Given a cell of 1 workers
    And a gang "g1" of 2 tasks of 8 processors
    When time passes until "g1" is completed
    Then nothing is left at the workers

  Scenario: Two gangs that can never fit keep nobody else out
    Given a cell of 3 workers
    And a gang "g1" of 7 tasks of 8 processors
    And a gang "g2" of 7 tasks of 8 processors
    And a job "j1" of 4 tasks and then 2 tasks
    When time passes until "j1" is completed
    Then nothing is left at the workers

  Scenario: A gang with a limit for each worker keeps nobody out in vain
    Given a cell of 3 workers
    And a gang "g1" of 6 tasks, at most 1 on a worker
    And a gang "g2" of 6 tasks, at most 1 on a worker
    And a job "j1" of 4 tasks and then 2 tasks
    When time passes until "j1" is completed
    Then nothing is left at the workers

  Scenario: A new leader adopts what runs
    Given a cell of 3 workers
    And a job "j1" of 4 tasks and then 2 tasks
    And the leader has started them
    When another leader takes over
    And time passes until "j1" is completed
    Then each task was started once

  Scenario: A start that comes after a takeover does nothing
    Given a cell of 3 workers
    And a job "j1" of 4 tasks and then 2 tasks
    And the leader has written but not sent their starts
    When another leader takes over
    And the late starts arrive
    And time passes until "j1" is completed
    Then no task ran in two places at once

  Scenario: A start without an answer is refused for good before a retry
    Given a cell of 3 workers
    And a job "j1" of 4 tasks and then 2 tasks
    When the starts are lost on their way
    And the leader has seen that they are not there
    And the lost starts arrive late
    Then no task ran in two places at once
    When time passes until "j1" is completed
    Then nothing is left at the workers

  Scenario: A worker that went silent keeps its tasks until its lease lapses
    Given a cell of 2 workers
    And a job "j1" of 4 tasks and then 2 tasks
    And tasks that take 60 s
    And the leader has started them
    When a worker is cut off for 5 s
    Then its tasks are nowhere else
    When it stays cut off for 3 s more
    Then its tasks run elsewhere
    And no task ran in two places at once

  Scenario: A worker that starts anew under its id does not double a task
    Given a cell of 2 workers
    And a job "j1" of 4 tasks and then 2 tasks
    And tasks that take 60 s
    And the leader has written but not sent their starts
    When a worker starts anew under the same id
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

  Scenario: A cancelled job stops and is not revived by a late submission
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

  Scenario: A new leader finds a start that reached a worker's next life
    Given a cell of 1 workers
    And a job "j1" of 1 tasks and then 1 tasks
    And tasks that take 60 s
    And the leader has written but not sent their starts
    When a worker starts anew under the same id, unseen
    And the late starts arrive
    And another leader takes over
    Then the leader counts what runs there
    And each task was started once

  Scenario: What a leader did not place counts until it has stopped
    Given a cell of 1 workers
    And a job "j1" of 3 tasks and then 1 tasks
    And tasks that take 60 s
    And the leader has started them
    When a leader takes over that does not know of their placement
    Then the leader counts what runs there

  Scenario Outline: A leader knows that its own process is too slow
    When the turns of a loop come <late> ms late for <turns> turns
    Then the node counts as slow: <slow>

    Examples:
      | late | turns | slow |
      | 5    | 200   | no   |
      | 4000 | 1     | no   |
      | 120  | 4     | no   |
      | 120  | 20    | yes  |

  Scenario Outline: Fast nodes lead, slow ones stand in for them
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

  Scenario: The lease of a lost worker lapses while the leader goes on calling
    Given a leader that has renewed the lease of a worker
    When 4 calls in 6 s are not answered
    Then the worker's lease counts as lapsed
    And none of the unanswered calls but the first renewed it

  Scenario: One call that is not answered costs no lease
    Given a leader that has renewed the lease of a worker
    When 1 calls in 1 s are not answered
    And the next 2 are answered
    Then the last of them renewed the lease

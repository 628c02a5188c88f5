Feature: A worker restarts under its id, which calls to it cannot tell apart

  # Guards against leases that are renewed up to the longest one that a former
  # incarnation may have left, so that tasks of a lost worker wait for that.
  Scenario: The lease of a restarted worker is renewed for the usual time
    Given a cell of 2 workers
    And the clock of a worker is far ahead
    When that worker restarts under its id and answers a renewal
    And 5 s pass
    Then the worker's own lease ends within 7 s

  # Guards against two runs of one task: a new leader counted 4.5 s for a lease
  # of 10 s, which a start for the former incarnation had left at the next.
  Scenario: A new leader loses a restarted worker soon after it took over
    Given a cell of 2 workers
    And the clock of a worker is far ahead
    When a start for that worker reaches its next incarnation
    And another leader takes over
    And the worker is cut off for 12 s
    Then the task ran nowhere else while it ran there
    And it runs elsewhere now

  # Guards against a start after an end as done that is taken note of later:
  # the new leader counted the lease as expired while it lasted.
  Scenario: A task ends behind a cut, and the worker is back in its lease
    Given a cell of 2 workers
    And the clock of a worker is far ahead
    When a start for that worker reaches its next incarnation
    And another leader takes over
    And the worker is cut off for 9 s, and its task ends there after 3 s
    Then no other worker has started the task
    When the worker is reached again
    Then the leader knows that the task is done

  # Guards against two runs of one task: the next incarnation has no memory of
  # the stop that refused a late start at the former one.
  Scenario: A late start for a former incarnation begins no run
    Given a cell of 2 workers
    And a job "j1" of 1 tasks with tickets for all workers
    And tasks that take 60 s
    When the starts are lost on their way
    And the worker of the lost start is suspected
    And the leader has found that no worker lists them
    And the worker of the lost start restarts and answers a renewal
    And the lost starts arrive late
    Then no task ran in two places at once

  # Guards against tasks that run again since a late acknowledgement, by the
  # numbers of the former incarnation, dropped the end of their run.
  Scenario: A late renewal for a former incarnation drops no end of a run
    Given a cell of 1 workers
    And a worker where 3 tasks have ended, and a renewal under way to it
    When that worker restarts under its id and answers a renewal
    And a task ends there just before the renewal arrives
    Then the leader reads that the task is done, and it runs once

  # Guards against leaders that resign since a worker refused a call that was
  # for its former incarnation.
  Scenario Outline: A refused call for a former incarnation fences no leader
    Given a leader whose <call> is under way to a worker
    When that worker restarts under its id, and refuses the call as stale
    Then the leader leads on

    Examples:
      | call    |
      | renewal |
      | start   |

  # Guards against two incarnations of one worker that a leader both calls: the
  # later one refuses the calls for the earlier, and that fences the leader.
  Scenario: A new leader whose list is older than the record of a run
    Given a cell of 2 workers
    And a start that reached a restarted worker and is stored
    When another leader takes over with the worker's entry before its restart
    Then it has one incarnation of that worker, the later one
    When 3 s pass
    Then each task was started once

  # Guards against two runs of one task: the start reached the next incarnation
  # late, and the leaders, which never reached that, counted 14 s for its lease.
  Scenario Outline: A late start reaches a restarted worker that never answers
    Given a cell of 2 workers
    And the clock of a worker is far ahead
    And a job "j1" of 1 tasks and then 1 tasks
    And tasks that take 60 s
    And the leader has stored but not sent their starts
    When the worker of the start restarts, is listed and cut off
    And <leader> for 11 s
    And the start arrives there, and 14 s pass
    Then the task ran nowhere else while it ran there
    And it runs elsewhere now

    Examples:
      | leader                 |
      | the leader waits       |
      | another leader follows |

  # Guards against starts that a restarted worker refuses, since their tickets
  # are for its former incarnation.
  Scenario: A restarted worker gets no start with a former ticket
    Given a cell of 1 workers
    And a task with a ticket for that worker
    When that worker restarts under its id and answers a renewal
    Then the task waits, and a new ticket is asked for

  # Guards against two runs of one task on platforms that grant long leases.
  Scenario: A new leader that never reached a worker waits for its lease
    Given a platform that grants leases of up to 30 s
    When a leader reads the entry of a worker that it cannot reach
    Then it counts the worker's lease as expired after 30 s, not after 20 s

  # Guards against a second run of a task beside one that a worker lists, though
  # the leader has ended it.
  Scenario: A worker lists a run of a task that waits
    Given a cell of 2 workers
    And a job "j1" of 1 tasks and then 1 tasks
    And tasks that take 60 s
    And the leader has started them
    When its worker is cut off, with a lease longer than any, for 25 s
    And no other worker is usable before it is reached again
    Then the task goes on there, and was started once

  # Guards against a task that starts again after it is done: a late start did
  # it, and a late renewal by a former number dropped the end unread.
  Scenario: A late renewal drops an end that no leader has read
    Given two workers where tasks have ended, and a start of "j4" under way
    And a renewal under way to the same worker
    When that worker restarts behind a cut, and the start arrives there
    And the task ends there before the renewal arrives
    Then the task is not started again

Feature: A start goes to a worker that was adopted and still allows it

  # Guards against a task that stays on a lost worker for good, because its
  # lease ends by a clock that was never read (review, case 5).
  Scenario: A worker restarts while a placement is stored, and is lost later
    Given a cell of 2 workers
    And a job "j1" of 1 tasks and then 1 tasks
    When its worker restarts under its id while it is being stored
    Then no start is sent to a worker that was not adopted
    When that worker is lost for good
    And time passes until "j1" is completed
    Then no task ran in two places at once

  # Guards against starts at a worker that came back without the label.
  Scenario: A worker comes back as another kind while a placement is stored
    Given a cell of 2 workers
    And a job "j1" of 1 tasks that needs the label "a"
    When its worker restarts as kind "b" while it is being stored
    And time passes until "j1" is completed
    Then nothing was started at a worker of kind "b"

  Scenario: A worker comes back too small while a placement is stored
    Given a cell of 2 workers
    And a job "j1" of 1 tasks and then 1 tasks
    When its worker restarts with 500 CPU millis while it is being stored
    And time passes until "j1" is completed
    Then no task ran in two places at once

  Scenario: A gang whose worker restarts while it is stored starts as a whole
    Given a cell of 3 workers
    And a gang "g1" of 6 tasks of 6 processors
    When its worker restarts under its id while it is being stored
    Then no member is started
    When time passes until "g1" is completed
    Then nothing is left at the workers

  Scenario Outline: A worker changes between the record and the start
    Given a leader with a run that is stored and not started
    When its worker <changes> before the start is sent
    Then no start is sent, and the task waits again

    Examples:
      | changes                      |
      | restarts under its id        |
      | lets its lease expire        |
      | is told to leave             |
      | loses the label              |
      | changes the service          |

  Scenario: No deadline is taken from a clock that was never read
    Given a worker that has not answered this leader
    Then it gives no deadline, and names the worker and the reason

  # Guards against a lease that is counted as expired too early: a renewal with
  # a deadline of the former clock reached the next incarnation.
  Scenario: A restarted worker is cut off soon after it was adopted
    Given a cell of 2 workers
    And the clock of a worker is far ahead
    When that worker restarts under its id and answers a renewal
    And a task that takes 60 s is started there
    And the worker is cut off for 12 s
    Then the task ran nowhere else while it ran there
    And it runs elsewhere now

Feature: Workers whose capacity shrinks and grows are never started over it

  Of each worker, 8% stay free for the most urgent rank: the jobs here get 14
  of 16 processors, 7 of 8 and 3 of 4.

  # Guards against starts by the capacity that a worker had before.
  Scenario: A full worker that shrinks gets nothing until enough has ended
    Given a cell of 1 workers
    And 4 jobs of 8 tasks
    And the leader has started them
    When "w0" shrinks to 8 processors
    And time passes until all other jobs are completed
    Then no worker ever ran more than it may

  # Guards against capacity that is counted as free while a stop is under way.
  Scenario: What is being stopped counts on a worker that has shrunk
    Given a cell of 1 workers
    And tasks that take 60 s
    And a job "big" of 16 tasks and then 1 tasks
    And the leader has started them
    When "w0" shrinks to 8 processors
    And "big" is cancelled
    And 8 jobs of 1 tasks are submitted
    And the stops are ordered but not done
    Then no task of the new jobs runs
    When 2 s pass
    Then 7 tasks of the new jobs run

  # Guards against capacity that stays lost.
  Scenario: A worker that grows again is filled again
    Given a cell of 1 workers
    And tasks that take 60 s
    When "w0" shrinks to 4 processors
    And 2 jobs of 8 tasks are submitted
    And 1 s pass
    Then 3 tasks run
    When "w0" grows to 16 processors
    And 1 s pass
    Then 14 tasks run

  # Guards against a start whose record took so long that it no longer fits.
  Scenario: A worker shrinks while the placements are being stored
    Given a cell of 2 workers
    And tasks that take 60 s
    And 2 jobs of 8 tasks
    When "w0" shrinks to 4 processors while they are being stored
    And 3 s pass
    Then 16 tasks run

  # Guards against half a gang that waits for members that were withdrawn.
  Scenario: A gang whose worker shrinks while it is stored starts as a whole
    Given a cell of 3 workers
    And a gang "g1" of 6 tasks of 6 processors
    When "w0" shrinks to 4 processors while they are being stored
    Then nothing runs
    When "w0" grows to 16 processors
    And time passes until "g1" is completed
    Then nothing is left at the workers

  # Guards against starts at a worker that is known to leave.
  Scenario: A worker is told to leave while the placements are being stored
    Given a cell of 2 workers
    And tasks that take 60 s
    And 2 jobs of 8 tasks
    When "w0" is told to leave while they are being stored
    Then nothing runs on "w0"
    When 3 s pass
    Then 14 tasks run

  # Guards against starts by the capacity of the incarnation before.
  Scenario: A worker that restarts under its id may have become smaller
    Given a cell of 1 workers
    And tasks that take 60 s
    And workers that keep their ids
    When "w0" restarts with 4 processors, of which its list entry comes late
    And 2 jobs of 8 tasks are submitted
    And its leases are renewed and the leader plans
    Then nothing runs
    When its list entry comes
    And 1 s pass
    Then 3 tasks run

  # Guards against the size of an unknown run that is taken as too small.
  Scenario: A worker with a run of unknown size grows
    Given a cell of 1 workers
    And an unknown run of 12 processors on "w0"
    When "w0" shrinks to 4 processors
    And 1 jobs of 8 tasks are submitted
    And its leases are renewed and the leader plans
    And "w0" grows to 16 processors
    And the leader plans
    Then nothing of the new jobs runs beside the unknown run

  # Guards against jobs that are turned away for good for a passing lack.
  Scenario: A job that only fitted before workers shrank may be tried again
    Given a cell of 1 workers
    And the leader plans
    When "w0" shrinks to 4 processors
    And the leader plans
    Then a job of 8 processors is refused with a time to come back
    And a job of 17 processors is refused for good
    When "w0" grows to 16 processors
    And the leader plans
    Then a job of 8 processors is admitted

  # Guards against a leader whose process ends by its own check.
  Scenario: A filler is not placed on a worker that has shrunk below its tasks
    Given a cell of 1 workers
    And tasks that take 60 s
    And a job "big" of 14 tasks and then 1 tasks
    And the leader has started them
    When "w0" shrinks to 8 processors
    And a filler of 1 processors is submitted
    And 2 s pass
    Then 14 tasks run
    When "w0" grows to 16 processors
    And 2 s pass
    Then 15 tasks run

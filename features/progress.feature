Feature: Workers that slow down or stand still show in their tasks' progress

  Scenario: A worker's tasks stand still, so urgent ones move and none come
    Given a cell of 4 workers, each with 2 urgent tasks of 1000 ms
    When the tasks of worker "w0" stand still after 300 ms
    Then within 1.5 s worker "w0" is suspected as "stalled"
    And its urgent tasks run elsewhere within 1 s more
    And no task starts at "w0" for 3 s

  Scenario: Long tasks that progress slowly are not taken for stalled
    Given a cell of 4 workers, each with 2 urgent tasks of 60000 ms
    When 20 s go by
    Then no worker is suspected

  Scenario: A worker becomes eight times slower, which shows before tasks end
    Given a cell of 4 workers, where "w0" takes 8 times as long
    When a step of 8 urgent tasks of 1000 ms starts on all of them
    Then within 1.5 s worker "w0" is suspected as "slow"
    And the job is completed within 3.6 s

  Scenario: Slow siblings alone do not lead to copies
    Given a cell of 4 workers, where "w0" takes 8 times as long
    When a step of 8 tasks of 1000 ms starts, of which copies may run
    Then no copy has started after 1.2 s

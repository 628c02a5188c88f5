Feature: A start without an answer may begin seconds later

  # Guards against two runs of one task: the leader had ended the run, and the
  # start began it at the worker's next incarnation, before the leader's first
  # call there, or while the leader knew nothing of the restart.
  Scenario Outline: A late start begins no second run, whenever it arrives
    Given a start that gets no answer and may arrive for 12 s
    When its worker restarts after <restart> s, <seen>
    And <leader>
    And the start arrives at any moment after that
    Then no two runs of the task were ever there at once
    And the task runs in the end

    Examples: One leader
      | restart | seen                         | leader                       |
      | 1       | listed at once               | the leader leads on          |
      | 1       | reachable, listed after 5 s  | the leader leads on          |
      | 6       | listed at once               | the leader leads on          |
      | 1       | cut off and not listed       | the leader leads on          |
      | 6       | cut off and not listed       | the leader leads on          |
      | 11      | cut off and not listed       | the leader leads on          |
      | 1       | cut off, listed at once      | the leader leads on          |
      | 3       | twice, listed at once        | the leader leads on          |
      | 3       | begun, cut off, not listed   | the leader leads on          |

    Examples: A leader takes over
      | restart | seen                         | leader                       |
      | 1       | listed at once               | another leads after 0.05 s   |
      | 1       | reachable, listed after 5 s  | another leads after 0.05 s   |
      | 3       | reachable, listed after 5 s  | another leads after 1.5 s    |
      | 1       | cut off and not listed       | another leads after 0.05 s   |
      | 1       | cut off and not listed       | another leads after 1.5 s    |
      | 6       | cut off and not listed       | another leads after 5 s      |
      | 3       | twice, listed at once        | another leads after 0.05 s   |
      | 3       | begun, cut off, not listed   | others lead after 0.05 and 2 s |

  # Guards against tasks that wait for seconds since a start was not answered.
  Scenario Outline: A start without an answer is repeated at its worker
    Given a start that gets no answer and may arrive for 12 s
    When <cause>
    Then the task runs at that worker within 1 s
    And no two runs of the task were ever there at once

    Examples:
      | cause                                   |
      | the call was lost                       |
      | the call was lost, and its repetition   |
      | only the answer was lost                |
      | the call was lost, and a leader follows |

  # Guards against workers over their capacity.
  Scenario: A start without an answer is refused once its worker has shrunk
    Given a start that gets no answer and may arrive for 12 s
    When its worker shrinks below the size of the task
    Then the worker refuses the start

  # Guards against a start of a task that is done: the members of a gang end
  # together.
  Scenario: A gang ends while the start of a member is to be repeated
    Given a gang of 2 tasks, of which one start gets no answer
    When the start is to be repeated, and the other member ends as done
    Then only the next step starts

  # Guards against late starts of jobs that have ended, on workers whose
  # capacity is used by others by then.
  Scenario: A job ends while a start of it is to be repeated
    Given a start that gets no answer and may arrive for 12 s
    When it is to be repeated, its worker is cut off and its job cancelled
    Then the run keeps its capacity
    When the worker is reached, and stops the run
    Then the worker refuses the start

Feature: A ticket may be of an incarnation that the leader does not know yet

  # Guards against two runs of a task: the start with such a ticket ran at the
  # next incarnation, and the leader ended it by the leases of former leaders.
  Scenario Outline: A start at the next incarnation, which is then cut off
    Given a <kind> task with a ticket of a worker's next incarnation
    And <leader> sends its start there, which is <answer>
    When the leader reads of the restart, and the worker is cut off
    And <then>
    Then the task ran nowhere else while that worker could run it
    And the task starts elsewhere in the end

    Examples: The leader stays
      | kind    | leader          | answer       | then                        |
      | batch   | the leader      | answered     | nothing else happens        |
      | service | the leader      | answered     | nothing else happens        |
      | batch   | another leader  | answered     | nothing else happens        |
      | service | another leader  | answered     | nothing else happens        |
      | service | another leader  | not answered | nothing else happens        |
      | service | another leader  | answered     | it restarts once more there |

    Examples: Others lead
      | kind    | leader          | answer       | then                        |
      | service | another leader  | answered     | the next leader takes over  |
      | service | another leader  | not answered | the next leader takes over  |
      | batch   | another leader  | answered     | the leader hands over       |
      | service | another leader  | answered     | two leaders hand over       |
      | service | another leader  | answered     | two leaders take over       |

  # Guards against two runs of a task: the lease of the incarnation that the
  # leader knew had expired, and that of the next one had not.
  Scenario Outline: A start at a next incarnation of which nobody reads
    Given a <kind> task <tickets> a ticket of a worker's next incarnation
    And <leader> sends its start there, which is <answer>
    When the worker is cut off
    And <then>
    Then the task ran nowhere else while that worker could run it
    And the task starts elsewhere in the end

    Examples:
      | kind    | tickets | leader         | answer       | then                       |
      | batch   | with    | the leader     | answered     | nothing else happens       |
      | service | with    | another leader | answered     | nothing else happens       |
      | service | with    | another leader | not answered | nothing else happens       |
      | batch   | without | another leader | answered     | nothing else happens       |
      | service | with    | another leader | answered     | the next leader takes over |
      | service | with    | another leader | not answered | the next leader takes over |
      | service | with    | another leader | answered     | the leader hands over      |
      | service | with    | another leader | answered     | two leaders take over      |

  # Guards against starts that arrive there only after the leader has read of
  # the restart, or has lost the leadership.
  Scenario Outline: A late start at the next incarnation, behind a cut
    Given a service task with a ticket of a worker's next incarnation
    And another leader sends its start, which arrives <late> s late
    When the leader reads of the restart, and the worker is cut off
    And <then>
    Then the task ran nowhere else while that worker could run it
    And the task starts elsewhere in the end

    Examples:
      | late | then                       |
      | 1    | nothing else happens       |
      | 11   | nothing else happens       |
      | 11   | the next leader takes over |
      | 5    | two leaders take over      |
      | 11   | the leader hands over      |

  # Guards against tasks that stand still though the incarnation that ran them
  # has certainly ended.
  Scenario Outline: A run that the former incarnation has listed ends with it
    Given a <kind> task <tickets> tickets, listed for 3 s by its worker
    When its worker restarts, is listed and cut off, and <leader>
    Then it starts elsewhere within 1 s
    And it did not run in two places at once

    Examples:
      | kind    | tickets | leader                |
      | service | with    | the leader stays      |
      | service | without | the leader stays      |
      | batch   | without | the leader stays      |
      | service | with    | another leader follows |
      | service | without | another leader follows |

  # Guards against starts of which nobody can tell at which incarnation they
  # are: if the worker is lost then, the task has to wait for the longest lease.
  Scenario Outline: A start waits until its worker has confirmed the ticket
    Given a leader with 5 stored runs, whose tickets came after the last answer
    When it is about to start them, and the worker answers <answer>
    Then it sends <starts> starts after <reads> reads of the lists
    And <waiting> tasks wait again

    Examples:
      | answer                      | starts | reads | waiting |
      | as the leader knows it      | 5      | 1     | 0       |
      | as its next incarnation     | 0      | 1     | 5       |
      | the second call only        | 5      | 2     | 0       |
      | nothing                     | 0      | 2     | 5       |

  # Guards against calls that show nothing new.
  Scenario: A worker that has answered since its tickets came is not called
    Given a leader with 5 stored runs, whose tickets came after the last answer
    When the worker answers a renewal, and the leader is about to start them
    Then it sends 5 starts after 0 reads of the lists

  # Guards against crashes that are counted against tasks that were not there.
  Scenario: A worker restarts while a start waits for it
    Given a leader with 5 stored runs, whose tickets came after the last answer
    When it is about to start them, and the worker answers nothing
    And its entry shows a restart before the calls have failed
    Then it sends 0 starts after 1 reads of the lists
    And 5 tasks wait again
    And no crash counts against them

  # Guards against answered starts of which no list has shown yet that the
  # incarnation is the one that the leader knows.
  Scenario: Starts without tickets are followed by a read of the lists
    Given a leader with 5 stored runs without tickets
    When it starts them, and the worker answers
    Then it sends 5 starts and then 1 read of the lists

  # Guards against tasks that stand still for 30 s, and with each further leader
  # anew, since the record does not say that starts wait for confirmed tickets.
  Scenario Outline: A worker is lost before it has confirmed a ticket
    Given a <kind> task that is stored, at a worker that has to confirm its ticket
    When that worker is lost for good, and <leaders> leaders hand over
    Then it starts elsewhere within 11 s

    Examples:
      | kind    | leaders |
      | service | 1       |
      | batch   | 1       |
      | service | 5       |

  # Guards against tasks that stand still though a list has shown their run: the
  # list was on its way as the start was sent.
  Scenario Outline: A list that was under way shows a run, whose worker is lost
    Given a <kind> task <tickets> tickets, just started and listed at once
    When its worker is lost for good
    Then it starts elsewhere within 7 s

    Examples:
      | kind    | tickets |
      | service | with    |
      | service | without |

  # Guards against jobs that count as begun though none of their starts was
  # carried out.
  Scenario Outline: A worker restarts before it has carried out a start
    Given a job of which the only start got no answer
    When the worker of that start restarts, and <leader>
    Then the job counts as waiting

    Examples:
      | leader                 |
      | the leader stays       |
      | another leader follows |

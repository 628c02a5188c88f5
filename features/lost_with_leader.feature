Feature: A worker is lost together with the leader

  # Guards against tasks that stand still for 14 s, without tickets for 31 s,
  # since the next leader does not know that their starts were answered, and
  # until when its predecessors have renewed leases.
  Scenario Outline: The tasks of a lost worker start elsewhere
    Given a <kind> task <tickets>, listed for <listed> s by its worker
    When its worker is lost for good, and then <leader>
    Then it starts elsewhere within <s> s
    And it did not run in two places at once

    Examples: The leaders before have certainly stopped
      | kind    | tickets         | listed | leader                   | s  |
      | service | without tickets | 12     | another leads            | 7  |
      | service | with tickets    | 12     | another leads            | 7  |
      | batch   | without tickets | 12     | another leads            | 7  |
      | service | without tickets | 12     | others lead 3 s apart    | 7  |
      | service | without tickets | 3      | another leads            | 7  |
      | service | with tickets    | 0      | another leads            | 11 |
      | service | without tickets | 12     | 8 leaders hand over      | 7  |
      | service | with tickets    | 12     | 8 leaders hand over      | 7  |

    Examples: They may renew leases for 8 s
      | kind    | tickets         | listed | leader                   | s  |
      | service | without tickets | 12     | another leads, unsure    | 15 |
      | service | with tickets    | 12     | another leads, unsure    | 15 |

  # Guards against records of a leader that another one has followed, which may
  # have reached the worker.
  Scenario: A worker is reached between two leaders that hand over
    Given a service task without tickets, listed for 12 s by its worker
    When its worker is cut off as a leader hands over, and back for the next
    And it is cut off again, and then another leads
    Then it starts elsewhere within 7 s
    And it did not run in two places at once

  # Guards against the reverse order: the next leader has just had its first
  # answer of the worker, and counts with the longest lease.
  Scenario: A worker is lost right after the next leader has reached it
    Given a service task without tickets, listed for 12 s by its worker
    When another leads for 1 s, and then its worker is lost for good
    Then it starts elsewhere within 7 s

  # Guards against two runs at once: what the record says must be true of this
  # incarnation and of all starts.
  Scenario Outline: A worker that runs on behind a cut keeps its tasks
    Given a service task without tickets, <start>
    When its worker is cut off, and then another leads
    Then it starts elsewhere within 40 s
    And it did not run in two places at once

    Examples:
      | start                                      |
      | listed for 12 s by its worker              |
      | listed for 12 s by a worker that restarted |
      | listed for 2 s by a worker that restarted  |
      | that was started twice before it is listed |

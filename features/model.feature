Feature: The core protocol checked in a small model

  Scenario Outline: The rules hold to a depth, and by induction beyond it
    Given the <model> model
    Then no violation is found within <depth> steps
    And safety and lemma are inductive

    Examples:
      | model        | depth |
      | ownership    | 12    |
      | claims       | 9     |
      | cells        | 9     |
      | incarnations | 10    |

  # Guards against two runs of a task with tickets, whose start is not awaited.
  Scenario: Tickets make up for starts that are not awaited
    Given the incarnations model with awaits_starts as False, has_tickets as True
    Then no violation is found within 9 steps
    And safety and lemma are inductive

  # Guards against two runs of a task whose ticket is of an incarnation that its
  # leader does not know.
  Scenario Outline: A rule on tickets that is left out leads to a violation
    Given the incarnations model with awaits_starts as False, has_tickets as True, <rule> as False
    Then a violation is found within 9 steps
    And safety and lemma are not inductive

    Examples:
      | rule              |
      | confirms_tickets  |
      | ends_certain_runs |

  Scenario Outline: A rule that is left out leads to a violation
    Given the <model> model with <rule> as <value>
    Then a violation is found within <depth> steps
    And safety and lemma are not inductive

    Examples:
      | model        | rule                      | value | depth |
      | ownership    | guard                     | 0     | 16    |
      | ownership    | checks_epoch              | False | 16    |
      | ownership    | checks_reservation        | False | 16    |
      | ownership    | never_needs_lease         | False | 16    |
      | claims       | waits_for_read_back       | False | 9     |
      | claims       | checks_versions           | False | 9     |
      | claims       | snapshot_never_reverts    | False | 9     |
      | cells        | fences_store              | False | 9     |
      | cells        | writes_ahead              | False | 9     |
      | cells        | renews_before_release     | False | 9     |
      | cells        | awaits_own_orders         | False | 9     |
      | cells        | workers_check_epoch       | False | 9     |
      | cells        | waits_for_old_leader      | False | 9     |
      | incarnations | has_token_per_incarnation | False | 11    |
      | incarnations | assumes_longest_lease     | False | 11    |
      | incarnations | awaits_starts             | False | 11    |
      | incarnations | awaits_renewals           | False | 11    |
      | incarnations | confirms_leadership       | False | 11    |
      | incarnations | records_longest           | False | 10    |
      | incarnations | ends_certain_runs         | False | 11    |

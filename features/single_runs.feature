Feature: What must run once, where calls overtake what the leader knows

  # Guards against stops of sound runs: a worker that only a record names has
  # no capacity, so its runs count as too large before its first list.
  Scenario Outline: A new leader stops nothing on workers that its list lacks
    Given a running <kind> of 3 tasks on as many workers
    When another leader follows whose list lacks the workers, all alive
    And it plans before the workers have answered, and 2 s pass
    Then no task was stopped

    Examples:
      | kind    |
      | batch   |
      | service |

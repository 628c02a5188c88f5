Feature: Long random runs with the invariants asserted inside the program

  Scenario Outline: Random steps on one component
    When the <machine> machine takes at least <steps> random steps
    Then every assertion held

    Examples:
      | machine         | steps |
      | cell            | 10000 |
      | restarting cell | 10000 |
      | queue           | 10000 |
      | replica         | 10000 |
      | book            | 10000 |
      | lease           | 10000 |
      | shares          | 4000  |

  Scenario Outline: Random failures of whole nodes
    When the <machine> machine takes at least <steps> random steps
    Then every assertion held

    Examples:
      | machine        | steps |
      | fleet          | 1500  |
      | trusting fleet | 1500  |

  # The faults in the restarting cell guard against two runs of one task after
  # its worker restarted under its id, and against starts that are refused.
  Scenario Outline: An injected fault is found
    Given the injected fault "<fault>"
    When the <machine> machine takes up to <examples> random examples
    Then the run failed

    Examples:
      | fault                       | machine         | examples |
      | snapshot that reverts       | replica         | 120      |
      | no guard interval           | lease           | 120      |
      | state dropped first         | cell            | 1200     |
      | one token per epoch         | restarting cell | 800      |
      | usual lease at adoption     | restarting cell | 800      |
      | tickets kept after restart  | restarting cell | 800      |
      | late starts not awaited     | restarting cell | 800      |
      | late starts end with lease  | restarting cell | 800      |
      | listed after any start      | restarting cell | 800      |
      | usual lease recorded        | restarting cell | 800      |
      | tickets always bound        | restarting cell | 800      |
      | answers prove incarnation   | restarting cell | 800      |
      | moved runs lapse            | restarting cell | 800      |
      | moved runs end              | restarting cell | 800      |
      | former tickets not awaited  | restarting cell | 800      |

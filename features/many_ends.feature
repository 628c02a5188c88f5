Feature: A worker lists the ends of its runs in pages

  # Guards against tasks that run twice: an end that is not on the first page
  # counted as a run that was never there.
  Scenario Outline: More runs have ended than a worker lists at a time
    Given a cell of 1 worker and <tasks> small tasks that run there
    When they end while nothing can be stored
    And <then>
    Then each task was started once, and all jobs are completed

    Examples:
      | tasks | then                          |
      | 499   | the store is back             |
      | 500   | the store is back             |
      | 501   | the store is back             |
      | 1200  | the store is back             |
      | 1200  | another leader follows        |

  # Guards against starts that are stopped, or repeated, since their runs are
  # on no page that was read.
  Scenario: A start gets no answer, and its run ends behind the first page
    Given a cell of 1 worker and 600 small tasks that run there
    When a start gets no answer, and its run is the last of all that end
    And the store is back
    Then each task was started once, and all jobs are completed

  # Guards against capacity that ends on later pages keep.
  Scenario: The pages are read one right after the other
    Given a worker with 1200 ends, of which it lists 500 at a time
    When the leader renews its lease, and stores each page at once
    Then it has read all of them after 3 calls, within 50 ms

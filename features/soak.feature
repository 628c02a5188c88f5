Feature: Nodes, the store and runners fail at random under load

  # Guards against losses that only overlapping faults of real processes show.
  Scenario: A short soak loses no job, doubles no run and bounds its crashes
    When the soak runs for 30 s with seed 190
    Then it reports no lost, doubled or endless job

Feature: The operators' page agrees with the program

  Background:
    Given the shared deployment

  Scenario: Every command of the page works
    When each command of docs/OPERATIONS.md is run in its order
    Then each ended as the page describes

  Scenario: The settings of the page are those of the program
    Then docs/OPERATIONS.md has the generated table of settings

  Scenario: The counters of the page are in the metrics
    Then every counter that docs/OPERATIONS.md names is in the metrics

  Scenario: The example rows of the page are valid
    Then every example row of docs/OPERATIONS.md can be parsed

Feature: What the scenarios rely on in the stand-ins

  Scenario: No two processes get the same port
    When 1000 ports are drawn for processes
    Then all of them differ
    And each can be bound by the process that gets it

  Scenario: A process that ends at its start is named at once
    When a deployment waits for a process that ends with an error
    Then the wait ends with the last line of its errors

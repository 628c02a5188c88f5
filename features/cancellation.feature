Feature: What is cancelled ends, whatever it waits for is set just then

  # Guards against lease renewals that go on, without a pause, after a term.
  Scenario: A term that ends while ends wait for a commit leaves no renewal
    Given a leader that waits for a commit before it acknowledges an end
    When its term ends
    Then the renewals of its lease end within 50 ms
    And the event loop was not kept busy

  # Guards against a process that does not end after SIGTERM.
  Scenario: A reader that is woken and cancelled at the same time ends
    Given a reader that pauses between its reads
    When it is woken and cancelled at the same time
    Then it ends within 50 ms

Feature: Leased slots and messages that arrive late

  Scenario: A renewal that comes after a recall brings nothing back
    Given an entry node that holds a slot
    When the slot is recalled and then renewed
    Then the entry node holds nothing

  Scenario: A late release does not end a newer lease
    Given an owner that leased a slot and leased it again after its release
    When the first release arrives once more
    Then the newer lease still stands

  Scenario: An expired slot needs a report from after the expiry
    Given an owner whose lease of a slot has expired
    When a report from before the expiry shows it idle
    Then it is not free
    When a report from after the expiry shows it busy
    Then it is not free
    When a report from after the expiry shows it idle
    Then it is free

  Scenario: An urgent request's answer is asked for while a retry is possible
    When a request with 1500 ms of longest wait is started
    Then its answer is asked for after at most 500 ms
    When a request with 60000 ms of longest wait is started
    Then its answer is asked for after at least 1000 ms

  Scenario: A slow kind leaves time for a retry too
    When a request with 1500 ms of longest wait is started where 150 ms is usual
    Then its answer is asked for after at most 500 ms

  Scenario: A request whose start failed goes before later ones
    Given three requests of a kind that wait, the first of which is started
    When it comes back, not run
    Then it is the next to start

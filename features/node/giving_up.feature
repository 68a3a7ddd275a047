Feature: A request that a node gives up is answered at once

  Scenario: No endpoint is free before the deadline
    Given the Vodnik example runs with 2 nodes
    And the pool of reports is full
    When a caller asks for a label with a deadline of 2 seconds
    Then the answer is "not-run" and comes within 1 second of the deadline
    And it says when to retry

  Scenario: The store is down before a booking
    Given the Vodnik example runs with 2 nodes
    And the platform's store is down
    When a caller books
    Then the answer is "not-run" and comes within 4 seconds
    And it says when to retry

  Scenario: The whole pool is out of service
    Given the Vodnik example runs with 2 nodes
    And all zones are taken out
    When a caller asks for a label with a deadline of 2 seconds
    Then the answer is "not-run" and comes within 1 second of the deadline
    And it says when to retry

  Scenario: A service does not answer a booking
    Given the Vodnik example runs with 2 nodes
    And the services take 20 seconds a call
    When a caller books
    Then the answer is "may-have-run" and comes within 8 seconds
    And it says when to retry
    And the same key gives the recorded outcome or "may-have-run"

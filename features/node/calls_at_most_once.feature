Feature: A non-idempotent call runs at most once

  Scenario: Callers send each booking to two nodes at once
    Given a deployment of 3 nodes with links to the store
    When 20 bookings are each sent to two nodes at once
    Then no booking ran twice
    And every booking was answered done by both nodes

  Scenario: A node is killed while its bookings run
    Given a deployment of 3 nodes with links to the store
    And services take 0.5 seconds a call
    When a node is killed while 12 bookings are sent to it and resent to another
    Then no booking ran twice
    And no request answered not run has run
    And every booking was answered done or may have run

  Scenario: The store loses the answers to claims
    Given a deployment of 3 nodes with links to the store
    When the store loses the next 4 answers
    And 10 bookings are each sent to two nodes at once
    Then no booking ran twice
    And every booking was answered done by both nodes

  Scenario: The store is down
    Given a deployment of 3 nodes with links to the store
    When the store goes down
    And 3 bookings are each tried for 2 seconds
    Then no booking ran
    And every booking was answered not run

  Scenario: A node is frozen with bookings in flight and thawed later
    Given a deployment of 3 nodes with links to the store
    And every node has answered a booking
    And the store takes 0.3 seconds a call
    When a node is frozen for 8 seconds while 12 bookings are sent to it
    Then no booking ran twice
    And no request answered not run has run
    And every booking was answered done, may have run or too late to run
    And at least one request of every booking was answered done or may have run

  Scenario: A key is used with another body
    Given a deployment of 3 nodes with links to the store
    When one key is used for two different bookings
    Then the second booking is refused and one booking ran

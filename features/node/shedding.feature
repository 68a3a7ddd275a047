Feature: A node refuses at once what it can't serve in time

  Scenario: A burst after a rest is kept
    Given a node that placed 1 booking a second for 30 seconds
    When 12 bookings with 4 seconds left come at once after 10 seconds of rest
    Then all of them are kept

  Scenario: A burst on a queue that never empties is refused
    Given a node that placed 1 booking a second for 30 seconds
    When 12 bookings with 4 seconds left come at once behind another one
    Then the first 3 of them are kept and the others refused as "overloaded"

Feature: A node immediately refuses work that it can't place in time

  Scenario: A burst after an idle time is queued
    Given a node that placed 1 booking a second for 30 seconds
    When 12 bookings with 4 seconds left come at once after 10 idle seconds
    Then all of them are queued

  Scenario: A burst on a queue that never empties is refused
    Given a node that placed 1 booking a second for 30 seconds
    When 12 bookings with 4 seconds left come at once after another one
    Then the first 3 of them are queued and the others refused as "overloaded"

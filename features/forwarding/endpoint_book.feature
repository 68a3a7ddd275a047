Feature: The endpoint registry of a node

  Scenario: Records appear, leave, lapse in outages and restart in any order
    Then no history of records sends a request to an endpoint that has left

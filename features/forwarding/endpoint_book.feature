Feature: The endpoints that a node knows

  Scenario: Records come, leave, lapse in outages and start anew in any order
    Then no history of records sends a request to an endpoint that left

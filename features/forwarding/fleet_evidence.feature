Feature: What one node meets at an endpoint, the others need not meet

  Scenario: An endpoint that fails several nodes is set aside for all of a zone
    Given a world with 2 plain endpoints and 5 nodes
    And one endpoint that fails
    When 4 nodes have one failed booking each
    Then no booking of another node reaches the failing endpoint

  Scenario: An endpoint that fails one zone serves the others
    When the nodes of one zone get 6 failures and those of each other 6 answers
    Then the endpoint is set aside for the one zone only

  Scenario: An endpoint that fails nodes of several zones is set aside for all
    When one node of each of 4 zones gets a failure of a plain endpoint
    Then the endpoint is set aside for every zone

  Scenario: Batches that come again, late or from a restarted node count once
    When a node tells batches again, late, and after its next start
    Then the evidence is that of the answers themselves

  Scenario: Evidence of endpoints that are gone is forgotten
    When 500 endpoints answer once and nobody hears of them for 61 seconds
    Then nothing of them is kept

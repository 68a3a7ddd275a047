Feature: What one node meets at an endpoint, the others need not meet

  Scenario: An endpoint that fails several nodes is set aside for all of a zone
    Given a world with 2 plain endpoints and 5 nodes
    And one endpoint that fails
    When a client asks each node for 8 bookings in turn
    Then at most 9 bookings reached the failing endpoint

  Scenario: An endpoint that fails one zone serves the others
    When the nodes of one zone get 6 failures and those of another 6 answers
    Then the endpoint is set aside for the one zone only

  Scenario: Counts that come twice, late or from a restarted node count once
    When a node's counts come twice, an older one late, and from its next start
    Then the evidence is that of the answers themselves

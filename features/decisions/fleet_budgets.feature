Feature: Fleet budgets without communication between nodes

  Scenario: Retries of all nodes stay within the fleet's bound in every window
    Then any history of 5 nodes keeps retries within ratio and allowance

  Scenario: A cold endpoint gets no more than its bound in any second
    Then any history of 5 nodes keeps a cold endpoint's bound each second

Feature: Budgets that all nodes share without an exchange

  Scenario: Repeats of all nodes keep the fleet's bound in every window
    Then any history of 5 nodes keeps repeats within ratio and allowance

  Scenario: A cold endpoint gets no more than its bound in any second
    Then any history of 5 nodes keeps a cold endpoint's bound each second

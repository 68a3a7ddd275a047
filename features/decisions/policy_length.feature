Feature: Output length learned online

  Scenario: Predictions follow a sudden change of lengths
    Given a length model that saw 400 outputs of 100 tokens
    When it sees 520 outputs of 2000 tokens
    Then its median length lies between 1900 and 2100 tokens

  Scenario: A new workspace is predicted from the lengths of its product
    Given a length model that saw 100 outputs of 300 tokens
    Then the median length of a new workspace lies between 280 and 320 tokens

  Scenario: The residual life of a long output grows
    Given a length model that saw 300 outputs doubling from 10 to 5000 tokens
    Then the predicted remainder at 1000 tokens is more than at 10 tokens
    And beyond all observed lengths the prediction exceeds what was produced

  Scenario: Conditional lengths never fall below what was produced
    Then any lengths and any progress give survival and quantiles in order

Feature: Pace of an endpoint's tokens, aggregated by relaying nodes

  Scenario: Samples of several nodes add up
    Given a node that relayed 10 tokens with gaps of 0.025 seconds
    And a node that relayed 30 tokens with gaps of 0.035 seconds
    Then the pace over both lies between 0.032 and 0.033 seconds

  Scenario: A stall of one stream does not change the pace
    Given a node that relayed 10 tokens with gaps of 0.025 seconds
    And a node that relayed 2 tokens with gaps of 5.0 seconds
    Then the pace over both lies between 0.0249 and 0.0251 seconds

  Scenario: A sample is taken once
    Given a node that relayed 10 tokens with gaps of 0.025 seconds
    Then its next sample is empty

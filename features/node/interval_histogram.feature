Feature: Histogram of the time between tokens

  Scenario: Tokens that arrive together share their interval
    When 4 tokens arrive 0.2 seconds after the previous one of product "report"
    And 1 tokens arrive 0.042 seconds after the previous one of product "report"
    And 1 tokens arrive 9 seconds after the previous one of product "label"
    Then 5 intervals of product "report" are at most 0.06 seconds
    And 1 intervals of product "report" are at most 0.042 seconds
    And 0 intervals of product "label" are at most 5 seconds
    And 1 intervals of product "label" are at most +Inf seconds
    And the intervals of product "report" sum to 0.242 seconds

  Scenario: A relay whose first event was never requested is still settled
    When a relay's body is closed before its first event
    Then the node drops the relay and may cancel its generation

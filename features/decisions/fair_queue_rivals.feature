Feature: Only the backlog of the same pools counts for the wait

  Scenario: A backlog of reports does not count against a booking
    Given a fair queue with 40 waiting reports of 200 tokens
    When the tokens ahead of a booking are asked for
    Then none are ahead among the products of its pools
    And some are ahead among all products

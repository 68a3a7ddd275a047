Feature: Engines load from one weights store

  Scenario: Loads share the rate of the store, and a load above the limit is refused
    Given a weights store for 2 loads at once and 3 engines
    When each engine is ordered to load version "2"
    Then 2 orders are accepted and 1 is refused temporarily
    And every engine whose order was accepted reports version "2"
    And the total rate of the loads stayed within the rate of the store
    When the refused order is sent again
    Then every engine reports version "2"
    And the store had at most 2 loads at once and refused 1

  Scenario: An engine whose weights are truncated keeps its version
    Given a weights store for 2 loads at once and 1 engines
    And the store is so slow that a load takes 20 seconds
    When each engine is ordered to load version "2"
    And the weights store is killed
    Then every engine accepts generations again with version "1"

  Scenario: The store ends a load when its engine is killed
    Given a weights store for 1 loads at once and 2 engines
    And the store is so slow that a load takes 20 seconds
    When the first engine is ordered to load version "2" and is killed
    Then an order to the other engine is eventually accepted
    And the store recorded the load of the first engine as interrupted

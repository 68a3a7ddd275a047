Feature: Orders to engines

  Scenario: A new version is loaded by every engine of the pool, but never by all at once
    Given the Vodnik example runs with 3 nodes and quick loads
    When an operator sets "version" of "pool report-model" to "2"
    Then every engine of the pool reports version "2" within 120 seconds
    And at no time were all engines of the pool loading
    And no engine accepted orders with decreasing fencing numbers

  Scenario: Another node takes over when the node that gives orders is frozen
    Given the Vodnik example runs with 3 nodes and quick loads
    When the node that gives orders to "report-model" is frozen
    And an operator sets "version" of "pool report-model" to "2"
    Then every engine of the pool reports version "2" within 150 seconds
    When the frozen node is thawed
    Then no engine accepted orders with decreasing fencing numbers

  Scenario: Engines take turns to load from a shared weights store
    Given the Vodnik example runs with 2 nodes and a weights store
    When an operator sets "version" of "pool report-model" to "2"
    Then every engine of the pool reports version "2" within 150 seconds
    And the weights store never served more loads at once than orders allow
    And it refused no load and each engine loaded once

Feature: Orders to engines follow the pools table

  Scenario: Loads are staggered
    Given a pool of 3 engines without a model
    Then the orders at second 100 load 1 model
    And no load is ordered within 5 seconds of the last

  Scenario: At least one replica of a pool keeps serving during a load
    Given a pool of 2 engines of which one loads a version
    Then no load is ordered at second 100

  Scenario: Engines that don't check fencing get orders after old ones have expired
    Given a pool of 3 engines without a model that ignore fencing
    Then no order is given within 10 seconds of a new term
    And the orders at second 110 load 1 model

  Scenario: An engine in the state of the table gets no order
    Given a pool of 3 engines in the state of the table
    Then there is no order at second 100

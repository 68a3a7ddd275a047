Feature: What nodes conclude from deaths of engines

  Scenario: The death of an engine that its owner never reached clears no request
    Given two nodes know that a request ran on 2 engines that died
    When the second node finds an engine dead that it never reached
    Then the second node refuses the request

  Scenario: A request that one node refused is refused by the other
    Given two nodes know that a request ran on 2 engines that died
    When the first node refuses the request
    And the second node finds an engine dead that ran another request
    Then the second node refuses the request
    And both nodes know of the other death

  Scenario: A node that knows of no death adopts a refusal
    Given two nodes of which the first knows that a request ran on 2 engines that died
    When the first node refuses the request
    Then the second node refuses the request

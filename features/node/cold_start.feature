Feature: Warm engines that turn cold

  Scenario: All engines turn cold with no warning under full load
    Given the Vodnik example runs with 3 nodes and warm engines
    And 48 callers ask all nodes for reports of 100 tokens
    And a third of the reports have arrived
    When all engines turn cold with no warning
    Then all reports arrive complete
    And all invariants of the run hold

  Scenario: Engines that still warm up turn cold again with no warning
    Given the Vodnik example runs with 3 nodes
    And 24 callers ask all nodes for reports of 60 tokens
    And a third of the reports have arrived
    When all engines turn cold with no warning
    And 24 callers ask all nodes for reports of 60 tokens
    Then all reports arrive complete
    And all invariants of the run hold

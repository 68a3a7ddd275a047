Feature: Requests that crash endpoints

  Scenario: A request that crashes engines is refused permanently by all nodes
    Given the Vodnik example runs with 3 nodes
    And the engines crash on any prompt with the word "poison"
    And 6 callers read reports of 150 tokens
    When a caller sends a prompt with the word "poison" to each node in turn, 6 times with new keys
    Then its last answers are "crashes-endpoints"
    And at most 3 engines died
    And the other callers' reports arrive complete
    And all invariants of the run hold

  Scenario Outline: Two different requests crash engines at the same time
    Given the Vodnik example runs with 3 nodes
    And the engines crash on any prompt with the word "poison"
    And <callers> callers read reports of <tokens> tokens
    When 2 workspaces send different prompts with the word "poison" at once
    Then each of them got its final answer "crashes-endpoints"
    And each of them crashed at most 3 engines
    And each final answer came within 2 seconds of its last crash
    And no engine runs them again when each node is asked once more
    And the other callers' reports arrive complete
    And all invariants of the run hold

    Examples:
      | callers | tokens |
      | 6       | 150    |
      | 18      | 60     |

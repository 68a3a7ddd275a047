Feature: Model of one engine

  Scenario: Random work keeps offsets, memory and limits of the engine model
    When random work runs on engine models
    Then the engine model kept its invariants

  Scenario: Memory that fills while decoding preempts the least urgent generation
    Given a warm engine model with 640 tokens of memory
    And an engine generation "report" of 200 prompt and 300 output tokens at priority 1
    And an engine generation "label" of 200 prompt and 300 output tokens at priority 0
    When the engine model runs until idle
    Then the engine model preempted only "report"
    And engine generation "report" produced 300 tokens
    And engine generation "label" produced 300 tokens
    And the engine model counted 1 stall

  Scenario: A generation that fills the whole memory ends with reason "length"
    Given a warm engine model with 320 tokens of memory
    And an engine generation "report" of 200 prompt and 300 output tokens at priority 1
    When the engine model runs until idle
    Then engine generation "report" ended with reason "length" after 120 tokens

  Scenario: A cached prefix shortens the prefill
    Given a warm engine model with 48000 tokens of memory
    When the same long prompt runs twice on the engine model
    Then the second run had its first token sooner

  Scenario: A cold engine crashes when it gets more requests than its capacity
    Given a cold engine model with capacity 2
    When 3 engine generations are submitted at once
    Then the engine model crashed and lost 3 generations
    And the engine model recorded an excess of 3 over 2
    And the engine model refuses with "down" and then restarts cold

  Scenario: A cold engine warms up with the tokens that it produces
    Given a cold engine model with capacity 2
    When the engine model produces 500 tokens within its capacity
    Then the engine model has capacity 7

  Scenario: An engine that turns cold without a restart keeps its running generations
    Given a warm engine model that ran 8 generations and turned cold
    When an engine generation is submitted 2 seconds later
    Then the engine model recorded an excess of 9 over its capacity

  Scenario: Load reports are published with a lag
    Given a warm engine model with 48000 tokens of memory
    And an engine generation "report" of 200 prompt and 3000 output tokens at priority 1
    Then the engine load report shows 0 running after 0.5 seconds
    And the engine load report shows 1 running after 1.5 seconds

  Scenario: A poisonous request crashes the engine that runs it
    Given a warm engine model with 48000 tokens of memory
    And a poisonous engine generation
    When the engine model runs until idle
    Then the engine model crashed and lost 1 generations

  Scenario: Cache events are published with a lag and with gaps
    Given a warm engine model with 48000 tokens of memory
    When 40 prompts with distinct prefixes ran on the engine model
    Then the cache events have gaps and none is younger than the lag

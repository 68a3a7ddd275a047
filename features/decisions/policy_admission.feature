Feature: Admission by predicted peak memory

  Scenario: An idle engine always takes one generation
    Given an engine with memory for 2000 tokens and outputs of 3000 tokens
    Then it admits 1 generation

  Scenario: The predicted peak decides, not the current memory use
    Given an engine with memory for 10000 tokens and outputs of 900 tokens
    Then it admits 10 generations and defers the next for memory

  Scenario: The warm bound applies regardless of free memory
    Given an engine with memory for 10000 tokens and outputs of 10 tokens
    Then with warm bound 3 it admits 3 generations

  Scenario: Resident tokens of unknown generations count as occupied
    Given an engine with memory for 10000 tokens and outputs of 900 tokens
    When a load report shows 5000 resident tokens of unknown generations
    Then it admits 5 generations and defers the next for memory

  Scenario: A late report doesn't free generations granted after it
    Given an engine with memory for 10000 tokens and outputs of 900 tokens
    When 10 generations are admitted and an earlier report arrives
    Then the next generation is deferred for memory

  Scenario: A report frees the generations that ended
    Given an engine with memory for 10000 tokens and outputs of 900 tokens
    When 10 generations are admitted and a report 10 seconds later lists 4
    Then the ledger holds 4 generations

  Scenario: A higher tail weight allows a smaller batch and a smaller margin
    Then a tail weight of 1 allows a smaller batch and margin than 0

  Scenario: More work never lowers the forecast peak
    Then any running set has a peak at least that of each part of it

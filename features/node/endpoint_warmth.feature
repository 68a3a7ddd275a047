Feature: What an owner concludes from completed work on a cold engine

  Scenario: Short answers raise the capacity only by the number of their tokens
    Given an engine in cold start with capacity 1
    When 10 answers of 8 tokens end there one after the other
    Then its owner takes its capacity to be 1
    When 1 answer of 200 tokens ends there
    Then its owner takes its capacity to be 2

  Scenario Outline: An emptied prefix cache is a sign of a cold start
    Given an engine in cold start with capacity 1
    When 1 answer of 200 tokens ends there
    And it publishes that it stored 12 prefixes
    And it publishes <events>
    Then its owner takes its capacity to be <count>

    Examples:
      | events                                       | count |
      | that it evicted 12 prefixes                  | 1     |
      | that it evicted 12 prefixes, with a gap      | 1     |
      | that it evicted 12 prefixes and stored 1     | 2     |
      | that it evicted 3 prefixes                   | 2     |

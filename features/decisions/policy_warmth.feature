Feature: An endpoint counts as warm by recent evidence

  Scenario: The bound of an unknown endpoint is its cold limit
    Given an endpoint with cold limit 2 and limit 16
    Then its bound is 2 at second 0

  Scenario: Completed work at healthy speed raises the bound
    Given an endpoint with cold limit 2 and limit 16
    When 30 completions are seen beside 15 others by second 10
    Then its bound is 16 at second 10

  Scenario Outline: Any sign of a cold start discards the evidence
    Given an endpoint with cold limit 2 and limit 16
    When 30 completions are seen beside 15 others by second 10
    And the endpoint shows <sign>
    Then its bound is 2 at second 11

    Examples:
      | sign                            |
      | a new restart id                |
      | a new version                   |
      | a refused connection            |
      | a jump of time to first token   |
      | an emptied cache                |
      | a jump of time between tokens   |
      | running work without progress   |
      | a return into service           |

  Scenario: An endpoint that returns into service warms up from the cold limit
    Given an endpoint with cold limit 2 and limit 16
    When 30 completions are seen beside 15 others by second 10
    And the endpoint shows a return into service
    And 3 outputs of 128 tokens are seen beside 4 others
    Then its bound is 5 at second 11

  Scenario: Old evidence no longer counts
    Given an endpoint with cold limit 2 and limit 16
    When 30 completions are seen beside 15 others by second 10
    Then its bound is 2 at second 90

  Scenario: Sequential work is no evidence for a full batch
    Given an endpoint with cold limit 1 and limit 16
    When 30 completions are seen beside 0 others by second 10
    Then its bound is 2 at second 10

  Scenario: Short completions are little evidence
    Given an endpoint with cold limit 1 and limit 16
    When 12 outputs of 20 tokens are seen beside 15 others
    Then its bound is 2 at second 1

  Scenario: An endpoint with unavailable shares still warms up
    Given an endpoint with cold limit 1 and limit 16
    And its shares of ranks 1 and 3 are unavailable
    When it is kept full for 30 completions
    Then its other shares allow 10 at once
    And it never ran more than twice the concurrency seen before

  Scenario: The bound never exceeds the evidence
    Then any history keeps the bound within cold limit, evidence and limit

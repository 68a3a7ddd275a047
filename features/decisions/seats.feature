Feature: Generations are placed where they fit and wait least

  Scenario: A burst of long prompts is spread
    Given 6 engines of 34000 tokens
    When 12 prompts of 3000 tokens arrive at once
    Then each engine reads 2 of them

  Scenario: An engine whose memory is full gets no requests
    Given 2 engines of 34000 tokens
    And engine 1 holds 33000 tokens
    When 3 prompts of 3000 tokens arrive at once
    Then engine 1 reads 0 of them

  Scenario: Requests that fit nowhere are not placed
    Given 1 engines of 10000 tokens
    When 4 prompts of 3000 tokens arrive at once
    Then 1 of them are not placed

  Scenario: A copy goes to an engine of the same zone with the most free memory
    Given 4 engines of 34000 tokens in the zones a, a, b, b
    And engine 1 holds 20000 tokens
    When a run of 4000 tokens in zone a is copied
    Then the copy goes to engine 2

  Scenario: A backup goes to an engine of another zone with the most free memory
    Given 4 engines of 34000 tokens in the zones a, a, b, b
    And engine 3 holds 20000 tokens
    When a run of 4000 tokens in zone a gets a backup
    Then the copy goes to engine 4

  Scenario: A backup stays in the zone when other zones have no free memory
    Given 2 engines of 34000 tokens in the zones a, b
    And engine 2 holds 20000 tokens
    When a run of 4000 tokens in zone a gets a backup
    Then the copy goes to engine 1

  Scenario: A copy fits by the memory held now, not by the forecast
    Given 1 engines of 34000 tokens in the zones a
    And engine 1 holds 29000 tokens and forecasts 40000
    When a run of 4000 tokens in zone a is copied
    Then the copy goes to engine 1

  Scenario: Shorter copies are made first
    Then runs of 5000, 2000 and 4000 tokens are copied in the order 2000, 4000, 5000

  Scenario: A failing endpoint is ejected and tried again after a delay
    Given an endpoint whose last 3 answers failed
    Then it is ejected and tried again within 8 seconds
    When 6 good answers come
    Then it is not ejected

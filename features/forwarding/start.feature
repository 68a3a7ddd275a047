Feature: A forwarding node loads little before it serves

  Scenario: Libraries that its first answer does not need are not loaded
    When the modules are listed that a node loads before its settings
    Then none is of "opentelemetry, prometheus_client, click, pydantic, asyncio"
    And they are at most 412 modules

  Scenario: A deferred module is loaded when it is used
    When the module "wave" is deferred and then used
    Then it works as if it had been imported

  Scenario: Measurements made before the first scrape are not lost
    When 3 answers are counted before the metrics are first read and 2 after
    Then the metrics count 5 answer of route "reads" with status 200

  Scenario: Measurements beyond what is kept are counted as dropped
    When more measurements are made before the first scrape than are kept
    Then the metrics tell how many were dropped

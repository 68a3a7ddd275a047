Feature: A forwarding node imports few modules before it serves

  Scenario: Libraries that the first answer does not need are not imported
    When the modules that a node imports before reading its settings are listed
    Then none is of "opentelemetry, prometheus_client, click, pydantic, asyncio"
    And there are at most 412 modules

  Scenario: A deferred module is loaded when it is used
    When the module "wave" is deferred and then used
    Then it works as an imported module does

  Scenario: Measurements made before the first scrape are not lost
    When 3 answers are counted before the metrics are first read and 2 after
    Then the metrics count 5 answer of route "reads" with status 200

  Scenario: Measurements beyond what is kept are counted as dropped
    When more measurements are made before the first scrape than can be kept
    Then the metrics show how many were dropped

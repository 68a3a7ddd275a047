Feature: Log events

  Scenario: The catalogue and the code define the same events
    Given the catalogue of log events
    Then each event of the code is in the catalogue with its number and name
    And the catalogue has no other event
    And each event is logged by the code

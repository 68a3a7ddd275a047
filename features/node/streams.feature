Feature: Streams continue after failures

  Each token of a report is delivered once, in order, from one generation. A
  caller that follows the callers' page gets its complete answer.

  Background:
    Given the Vodnik example runs with 3 nodes

  Scenario: The node that relays a report is killed
    Given a caller reads a report of 200 tokens
    When the relaying node is killed
    Then the report arrives complete from one generation
    And all invariants of the run hold

  Scenario: The node that relays a report is frozen and thawed
    Given a caller reads a report of 300 tokens
    When the relaying node is frozen for 10 seconds
    Then the report arrives complete from one generation
    And every node still runs
    And all invariants of the run hold

  Scenario: The connections to the engine go silent while new ones work
    Given a caller reads a report of 200 tokens
    When the open connections of the report's engine go silent
    Then the report arrives complete from one generation
    And the caller did not resume
    And all invariants of the run hold

  Scenario Outline: The engine makes a mistake when a stream is resumed
    Given a caller reads a report of 200 tokens
    And the report's engine will <mistake> after a resume
    When the open connections of the report's engine go silent
    Then the report arrives complete from one generation
    And all invariants of the run hold

    Examples:
      | mistake        |
      | repeat a token |
      | skip a token   |

  Scenario: The caller's connection goes silent permanently
    Given a caller behind a link reads a report of 300 tokens
    When the open connections of the link go silent
    Then the report arrives complete from one generation
    And all invariants of the run hold

  Scenario: The engine crashes during a report
    Given a caller reads a report of 200 tokens
    When the report's engine crashes
    Then the caller gets the error "generation-lost" and sends a new request
    And the report arrives complete
    And all invariants of the run hold

  Scenario: The node and the engine connections fail together
    Given a caller reads a report of 200 tokens
    When the open connections of the report's engine go silent
    And the relaying node is killed
    Then the report arrives complete from one generation
    And all invariants of the run hold

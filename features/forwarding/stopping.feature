Feature: A node that stops leaves no request without an answer

  # Guards against requests that are taken late in the grace period and then cut.
  Scenario Outline: Requests during a planned stop are answered or refused as not run
    Given a world with 3 plain endpoints and 2 nodes
    When calls that take <seconds> seconds reach a node on <connections> connections from its stop on
    Then each call that was sent within the grace period got a complete answer
    And calls that were refused have a time to retry and did not run

    Examples:
      | seconds | connections |
      | 0.05    | new         |
      | 1.5     | new         |
      | 2.5     | new         |
      | 2.5     | kept        |

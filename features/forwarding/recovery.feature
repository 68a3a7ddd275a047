Feature: A fleet that lost all its nodes comes back without a rush on the store

  Scenario Outline: All nodes are killed while the store is <trouble>
    Given 6 forwarding nodes as processes
    When all are killed while the store is <trouble> and start again 4 seconds before it returns
    Then each node made at most 6 calls a second to the store while it was away
    And each node made at most 6 calls a second in the 5 seconds after it returned
    And every node served all kinds of requests within 12 seconds of its return

    Examples:
      | trouble |
      | busy    |
      | silent  |
      | reset   |

Feature: A fleet that lost all its nodes recovers without overloading the store

  Scenario Outline: All nodes are killed while the store is <trouble>
    Given 6 forwarding nodes as processes
    When all are killed while the store is <trouble> and restart 4 seconds before it recovers
    Then each node made at most 6 calls a second to the store during its outage
    And each node made at most 6 calls a second in the 5 seconds after it recovered
    And every node served all kinds of requests within 12 seconds of its recovery

    Examples:
      | trouble |
      | busy    |
      | silent  |
      | reset   |

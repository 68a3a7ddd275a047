# Guards against each node keeping to an endpoint's limit by itself, or not at all.
Feature: All nodes together keep to the limit that an endpoint names

  Scenario Outline: Requests of all nodes stay within an endpoint's limit
    Given a world with 3 <endpoints> and 4 nodes
    When 1 of them names a limit of <limit> requests a second and <rate> requests a second reach all nodes for 7 seconds
    Then it gets at most its limit with the tolerance in any 4 seconds
    And all requests are answered 200

    Examples:
      | endpoints       | limit | rate |
      | plain endpoints | 0.4   | 40   |
      | plain endpoints | 2     | 40   |
      | engines         | 1.5   | 20   |

  Scenario: Requests beyond the limits of all endpoints are refused at once
    Given a world with 3 plain endpoints and 4 nodes
    When 3 of them name a limit of 2 requests a second and 40 requests a second reach all nodes for 7 seconds
    Then they get at most their limits with the tolerance in any 4 seconds
    And each request is answered 200, or refused within 0.4 seconds with a time to retry

  Scenario: Nodes keep to a limit when their hub ends
    Given a world with 3 plain endpoints and 4 nodes
    When the first hub ends while 1 of them names a limit of 2 requests a second and 40 requests a second reach the other nodes
    Then it gets at most its limit with the tolerance in any 4 seconds

  # Guards against two hubs that each use a whole limit, while no node is excused.
  Scenario Outline: Nodes keep to a limit when the links between them fall silent
    Given a world with 3 plain endpoints and <nodes> nodes
    When a share of <share> of the links falls silent twice while 1 of them names a limit of <limit> requests a second and <rate> requests a second reach all nodes
    Then it gets at most its limit with the tolerance in any 4 seconds

    Examples:
      | nodes | share | limit | rate |
      | 4     | 1.0   | 2     | 40   |
      | 4     | 0.7   | 8     | 60   |
      | 7     | 0.5   | 8     | 60   |

  Scenario: A limit ends at all nodes when an endpoint names none
    Given a world with 2 plain endpoints and 3 nodes
    When all of them stop naming a limit of 1 request a second
    Then each node knows no limit after 2 seconds of requests

  Scenario: An endpoint that names a limit of 0 can name another one
    When an endpoint that names a limit of 0 could get requests for a minute
    Then it gets 5 to 6 requests

  Scenario: A limit that was named later replaces an earlier one in any order
    When 300 random sets of limits reach three registries in different orders
    Then all registries have the same limits

  Scenario: A limit beyond all numbers of requests is no failure
    Given a world with 1 plain endpoints and 1 node
    When 1 of them names a limit of 1e308 requests a second and 20 requests a second reach all nodes for 1 seconds
    Then all requests are answered 200

  Scenario Outline: A limit that is no number is ignored
    When an endpoint answers with the limit text "<text>"
    Then no limit is read from it

    Examples:
      | text |
      | many |
      | nan  |
      | inf  |
      | -1   |
      |      |

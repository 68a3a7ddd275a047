Feature: Requests pass unchanged to the endpoints of their route

  Scenario: A call and its answer pass unchanged
    Given a world with 2 plain endpoints and 1 node
    When a client calls "/read/a%20b?x=1" with the body "hello"
    Then the answer has status 200 and the body "/read/a%20b?x=1 hello"
    And the endpoint got the attempt id, the workspace and its own identity
    And the endpoint got no key and at most the client's time

  Scenario: What only the system may set is not taken from a client
    Given a world with 2 plain endpoints and 1 node
    When a client calls with headers that only the system sets
    Then the endpoint got none of them

  Scenario Outline: What no configuration allows is refused for good
    Given a world with 2 plain endpoints and 1 node
    When a client asks for "<target>" with the key "<key>"
    Then the answer has status <status>
    And no endpoint got a request

    Examples:
      | target  | key   | status |
      | /none/a | key-1 | 404    |
      | /read/a | key-9 | 401    |

  Scenario: A node that knows no configuration asks clients back
    Given a world whose store is down and 1 node
    When a client asks it before it knows a configuration
    Then the answer has status 503
    And the answer says to come back in 1.5 to 3 seconds

  Scenario: A client that leaves takes its request along
    Given a world with 1 plain endpoints and 1 node
    When a client closes its connection while its call runs
    Then the endpoint's work is cancelled within 0.5 seconds

Feature: Requests are forwarded unchanged to the endpoints of their route

  Scenario: A call and its answer are forwarded unchanged
    Given a world with 2 plain endpoints and 1 node
    When a client calls "/read/a%20b?x=1" with the body "hello"
    Then the answer has status 200 and the body "/read/a%20b?x=1 hello"
    And the endpoint got the attempt id, the workspace and its own identity
    And the endpoint got no key and at most the client's remaining time

  Scenario: Headers reserved for the system are not accepted from a client
    Given a world with 2 plain endpoints and 1 node
    When a client calls with headers reserved for the system
    Then the endpoint got none of these headers

  Scenario Outline: Requests with an unknown path or key are refused permanently
    Given a world with 2 plain endpoints and 1 node
    When a client asks for "<target>" with the key "<key>"
    Then the answer has status <status>
    And no endpoint got a request

    Examples:
      | target  | key   | status |
      | /none/a | key-1 | 404    |
      | /read/a | key-9 | 401    |

  Scenario: A node without a configuration asks clients to retry
    Given a world whose store is down and 1 node
    When a client calls the node before it has a configuration
    Then the answer has status 503
    And the answer asks to retry after 1.5 to 3 seconds

  Scenario: A request is cancelled when its client disconnects
    Given a world with 1 plain endpoints and 1 node
    When a client closes its connection while its call runs
    Then the endpoint's work is cancelled within 0.5 seconds

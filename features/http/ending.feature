Feature: An HTTP server that shuts down loses no request that reached it

  Background:
    Given an HTTP server that is about to shut down

  Scenario Outline: A request is answered when it reached the server <when>
    When a request reaches the HTTP server <when>
    Then its response is the last one on its connection

    Examples:
      | when                                        |
      | in its accept queue                         |
      | on a keep-alive connection                  |
      | soon after on a connection not yet accepted |
      | soon after on a keep-alive connection       |
      | in two parts, the second soon after         |
      | before and is answered slowly               |

  Scenario: All requests in the accept queue are answered
    When 200 requests reach the HTTP server in its accept queue
    Then all 200 are answered

  Scenario: A connection without a request is closed cleanly
    When the HTTP server shuts down with open connections without a request
    Then the connections are closed without a byte and without a reset
    And a new connection to the HTTP server is refused

  Scenario: A connection opened while the listener closes is refused, not reset
    When a client connects while the HTTP server closes its listener
    Then the connection is refused before any byte was sent

  Scenario: An incomplete request does not block the shutdown
    When an incomplete request reaches the HTTP server
    Then its response says that the request has not run

  Scenario: The last response is delivered despite unread input
    When a request whose body is too large reaches the HTTP server in full
    Then its response says that the request has not run

  Scenario: A server that announces its shutdown closes a keep-alive connection
    When the HTTP server announces its shutdown and gets a request
    Then its response is the last one on its connection

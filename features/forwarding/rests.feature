Feature: An endpoint may ask a node to back off for a time

  Scenario: An endpoint gets no request of the node until its back-off ends
    Given a world with 2 plain endpoints and 1 node
    When an endpoint asks for a back-off of 1.5 seconds while calls are made
    Then it gets no request until the back-off ends, and requests after that
    And each call was answered 200

  Scenario: A hub observes the back-off that another node was asked for
    Given a world with 3 engines and 3 nodes
    When an engine asks a node that is no hub for a back-off of 30 seconds
    Then it gets no stream of that node, but streams of others

  Scenario: A request is refused at once while all endpoints want a back-off
    Given a world with 2 plain endpoints and 1 node
    When all endpoints ask for a back-off of 4 seconds
    Then a client is refused within 0.3 seconds and asked to retry after 3.5 to 6 seconds

  Scenario: A request waits for the end of a short back-off of all endpoints
    Given a world with 2 plain endpoints and 1 node
    When all endpoints ask for a back-off of 0.15 seconds
    Then a client's next call is answered 200

  Scenario Outline: A retry-after text that is no valid time is ignored
    When an endpoint rejects a request with the retry-after text "<text>"
    Then no back-off is read from it

    Examples:
      | text   |
      | soon   |
      | -3     |
      | nan    |
      | inf    |
      |        |

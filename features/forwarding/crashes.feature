Feature: A request that crashes endpoints does not take the fleet down

  Scenario: It is refused after three crashes, whichever node gets it
    Given a world with 6 plain endpoints and 3 nodes
    When a client sends a request that crashes endpoints 10 times to all nodes in turn
    Then 3 endpoints crashed
    And its last answers say that it has not run and when to come back
    And requests with other bodies are served by every node

  Scenario: An idempotent one too, with its repeats
    Given a world with 6 plain endpoints and 2 nodes
    When a client sends an idempotent request that crashes endpoints 6 times
    Then 3 endpoints crashed

  Scenario: Requests beside it are not refused
    Given a world with 6 plain endpoints and 2 nodes
    When other requests run at each endpoint that it crashes and come again
    Then those are all answered 200

  Scenario: Answers that break off are no crash
    Given a world with 2 plain endpoints and 1 node
    And all endpoints that break off their answers
    When a client makes the same call 6 times
    Then each call reached an endpoint

  Scenario: Strikes of one request merge the same in any order
    When 300 drawn histories of strikes and completions reach three books
    Then all books agree when they have heard the same
    And no request is refused that was under way at several crashes at once

Feature: An endpoint that leaves says so in its answers

  Scenario: Who saw the sign sends nothing more, also while the store is down
    Given a world with 2 plain endpoints and 1 node
    When an endpoint says that it leaves while the store is down
    Then it gets no request of the node that passed this on

  Scenario: The sign stands though the store still calls the endpoint ready
    Given a world with 2 plain endpoints and 1 node
    When an endpoint says that it leaves and its record is renewed as ready
    Then it gets no request of the node that passed this on

  Scenario: A new start of the endpoint gets requests again
    Given a world with 2 plain endpoints and 1 node
    When an endpoint says that it leaves and starts anew
    Then it gets requests again

  Scenario: The other nodes learn of it through the hubs
    Given a world with 2 plain endpoints and 4 nodes
    When an endpoint says that it leaves while the store is down
    Then it gets no request of any node within 0.5 seconds

  Scenario: A node that starts later learns of it
    Given a world with 2 plain endpoints and 3 nodes
    When an endpoint says that it leaves while the store is down and a node joins
    Then it gets no request of the new node

  Scenario: Engines with runs are asked while the store is silent
    Given a world with 3 engines and 1 node
    When an engine leaves while the store is silent and 150 events are streamed
    Then the client got 150 events, each once and in order
    And the stream ended whole

  Scenario: Nobody is asked while the store answers
    Given a world with 3 engines and 1 node
    When 100 events are streamed
    Then no engine was asked for its report

  Scenario: The sign of another endpoint at the address means nothing
    Given a world with 2 plain endpoints and 1 node
    And one endpoint that has another identity
    When that one says that it leaves
    Then the expected endpoint is not taken as leaving

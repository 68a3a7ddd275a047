Feature: An endpoint announces in its answers that it leaves

  Scenario: A node that saw the sign sends no more requests, also while the store is down
    Given a world with 2 plain endpoints and 1 node
    When an endpoint announces its leaving while the store is down
    Then it gets no request of the node that forwarded the sign

  Scenario: The sign holds although the store still lists the endpoint as ready
    Given a world with 2 plain endpoints and 1 node
    When an endpoint announces its leaving and its record is renewed as ready
    Then it gets no request of the node that forwarded the sign

  Scenario: A restarted endpoint gets requests again
    Given a world with 2 plain endpoints and 1 node
    When an endpoint announces its leaving and restarts
    Then it gets requests again

  Scenario: The other nodes get the sign through the hubs
    Given a world with 2 plain endpoints and 4 nodes
    When an endpoint announces its leaving while the store is down
    Then it gets no request of any node within 0.5 seconds

  Scenario: A node that starts later gets the sign
    Given a world with 2 plain endpoints and 3 nodes
    When an endpoint announces its leaving while the store is down and a node joins
    Then it gets no request of the new node

  Scenario: Engines with runs are polled while the store is silent
    Given a world with 3 engines and 1 node
    When an engine leaves while the store is silent and 150 events are streamed
    Then the client got 150 events, each once and in order
    And the stream was complete

  Scenario: No engine is polled while the store answers
    Given a world with 3 engines and 1 node
    When 100 events are streamed
    Then no engine was polled for its report

  Scenario: The sign of another endpoint at the same address is ignored
    Given a world with 2 plain endpoints and 1 node
    And one endpoint that has another identity
    When that endpoint announces its leaving
    Then the expected endpoint is not marked as leaving

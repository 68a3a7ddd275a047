Feature: A stream survives the loss of its endpoint

  Scenario: A run continues from a copy when its endpoint leaves
    Given a world with 3 engines and 1 node
    When an engine leaves with notice while it streams 60 events
    Then the client got 60 events, each once and in order
    And the stream was complete

  Scenario: A run that begins after its endpoint announced that it leaves continues
    Given a world with 3 engines and 1 node
    When an engine announces that it leaves before it begins to stream 60 events
    Then the client got 60 events, each once and in order
    And the stream was complete

  Scenario: A run continues when the first engine chosen for a copy has no room
    Given a world with 3 engines and 1 node
    When an engine leaves and only one other has room while 60 events stream
    Then the client got 60 events, each once and in order
    And the stream was complete

  Scenario: A run continues at its backup when its endpoint dies
    Given a world with 3 engines that keep backups and 1 node
    When an engine dies without notice while it streams 60 events
    Then the client got 60 events, each once and in order
    And the stream was complete

  Scenario: A copy that is no longer needed is freed
    Given a world with 3 engines and 1 node
    When an engine announces that it leaves and ends its run of 60 events
    Then the stream was complete
    And a copy was made and no engine keeps it

  Scenario: A copy is freed when the client of its run disconnects
    Given a world with 3 engines and 1 node
    When an engine announces that it leaves and the client of its run disconnects
    Then a copy was made and no engine keeps it

  Scenario: A run moves twice
    Given a world with 3 engines and 1 node
    When 2 engines leave one after the other while 90 events are streamed
    Then the client got 90 events, each once and in order
    And the stream was complete

  Scenario: A run that moves often is not treated as one that crashes engines
    Given a world with 6 engines and 1 node
    When 4 engines leave one after the other while 95 events are streamed
    Then the client got 95 events, each once and in order
    And the stream was complete

  Scenario: A stream that cannot continue does not look complete
    Given a world with 1 engines and 1 node
    When an engine dies without notice while it streams 60 events
    Then the client got the first events, each once and in order
    And the stream was not complete
    And the generation ran once

  Scenario: A backup at an endpoint that has left is not used
    Given a world with 3 engines that keep backups and 1 node
    When the backup of a run leaves and then its engine leaves
    Then the client got 60 events, each once and in order
    And no endpoint got a request after it had left for 1.5 seconds

  Scenario: A generation is cancelled when its client disconnects
    Given a world with 2 engines and 1 node
    When a client closes its connection while its stream runs
    Then the endpoint's work is cancelled within 0.5 seconds

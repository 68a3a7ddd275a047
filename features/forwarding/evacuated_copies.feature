Feature: Copies and backups in a closed zone are replaced

  Scenario: The zone of a leaving engine's copy is closed
    Given a world with engines in 3 zones and 1 node
    When the zone of a copy is closed before the engine of its run ends
    Then the client got 60 events, each once and in order
    And the stream ended whole

  Scenario: The zone of a backup is closed before its run's engine leaves
    Given a world with engines that keep backups in 3 zones and 1 node
    When the zone of a backup is closed and the engine of its run leaves
    Then the client got 60 events, each once and in order
    And the stream ended whole

Feature: Copies and backups are kept in zones where runs can continue

  Scenario: A run continues when the zone of its copy is closed
    Given a world with engines in the zones "a b c" and 1 node
    When the zone of a copy is closed before the engine of its run ends
    Then the client got 60 events, each once and in order
    And the stream was complete

  Scenario: A run continues when the zone of its backup is closed
    Given a world with engines that keep backups in the zones "a b c" and 1 node
    When the zone of a backup is closed and the engine of its run leaves
    Then the client got 60 events, each once and in order
    And the stream was complete

  Scenario: A run continues when all engines of its zone die at once
    Given a world with engines that keep backups in the zones "a a b b" and 1 node
    When all engines in the zone of a run die without notice
    Then the client got 60 events, each once and in order
    And the stream was complete

  Scenario: A backup is kept in the run's zone when no other one has room
    Given a world with engines that keep backups in the zones "a a" and 1 node
    When all endpoints but the backup of a run die without notice
    Then the client got 60 events, each once and in order
    And the stream was complete

Feature: A deployment across four availability zones

  Scenario: A sheet and an inventory entry across four availability zones
    Given the Salvagewright example runs with 4 nodes
    Then each of 4 availability zones has a node and endpoints in service
    When a caller of "granite-manchester" asks for a "harvest-sheet"
    And the caller makes the call "crush-entry" twice with the same key
    Then the sheet is complete and has every token
    And the call ran once and both answers are its result
    And no invariant of the run is broken

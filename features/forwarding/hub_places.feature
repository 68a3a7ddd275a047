Feature: A hub places generations and copies for all nodes

  Scenario: Copies that nodes request at the same time share the free memory
    Given a world with 4 engines and 2 nodes
    When a hub is asked to place 10 copies of 12000 tokens from one engine
    Then each of the other engines was chosen 3 times
    And the last copy was not placed

  Scenario: The second hub places a generation that the first one does not answer
    Given a world with 4 engines and 3 nodes
    When a client requests a stream while the first hub answers no peer
    Then the stream was complete
    And the second hub had placed it

  Scenario: Totals at a hub are those of the nodes' last heartbeats
    When 200 random histories of heartbeats, silences and grants reach a hub
    Then its totals were always those of the last heartbeats and open grants

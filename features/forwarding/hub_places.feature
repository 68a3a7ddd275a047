Feature: A hub places generations and copies for all nodes

  Scenario: Copies that nodes ask for at once share the room that there is
    Given a world with 4 engines and 2 nodes
    When a hub is asked for 10 places of copies of 12000 tokens from one engine
    Then each of the other engines was named 3 times
    And the last copy found no room

  Scenario: The second hub places what the first one does not answer
    Given a world with 4 engines and 3 nodes
    When a client asks for a stream while the first hub answers no peer
    Then the stream ended whole
    And the second hub had placed it

  Scenario: Sums at a hub are those of the nodes' last beats
    When 200 drawn histories of beats, silences and grants reach a hub
    Then its sums were always those of the last beats and open grants

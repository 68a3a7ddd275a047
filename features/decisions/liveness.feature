Feature: Heartbeats and gossip

  Scenario: A small fleet exchanges heartbeats between all pairs
    Then 9 nodes ask 8 peers a round and carry no gossip

  Scenario: Requests a second are bounded and silent peers are not detected later
    Then in fleets of 2 to 400 nodes a node asks at most 16 peers a second
    And up to 16 nodes a peer counts as silent after 3 seconds and is asked 3 times before

  Scenario: In a large fleet live nodes count as live
    When 120 nodes exchange heartbeats for 60 rounds
    Then nodes count 99 in 100 others as live, each node at least 95 in 100

  Scenario: In a large fleet every node detects a dead node within the peer timeout
    When 120 nodes exchange heartbeats for 60 rounds
    And one of them dies and the others continue for the peer timeout
    Then no node counts the dead one as live

  Scenario: The heartbeat traffic of a node is bounded in a large fleet
    Then the heartbeats of a node carry at most 1100 bytes a second at 330 nodes

Feature: A node acts on a hub's news at once

  Scenario: News that cross the reply to a beat are acted on at once
    Given a world with 2 plain endpoints and 1 node
    When a hub tells of one endpoint's leaving, answers an earlier beat and tells of the other's
    Then the node knows at once that both endpoints leave

  Scenario: News after a missed update are acted on at once
    Given a world with 2 plain endpoints and 1 node
    When a hub's news of one endpoint are lost and it tells of the other's leaving
    Then the node knows at once that the other endpoint leaves
    And its next beat asks the hub for everything

  Scenario: A hub tells at once what it finds out itself
    Given a world with 2 plain endpoints and 1 node
    When a hub whose timed updates have stopped finds a strike and a leaving endpoint
    Then the nodes that beat to it are told of both

  Scenario: A node that missed a hub's news gets them with the next ones
    Given a world with 2 plain endpoints and 1 node
    When a hub finds a strike before it knows a node's address and a leaving endpoint after it
    Then that node is told of both without a further beat

  Scenario: An update is encoded once for all nodes
    Given a world with 2 plain endpoints and 1 node
    When a hub that 50 nodes beat to tells of a leaving endpoint
    Then 50 nodes got the same encoded update

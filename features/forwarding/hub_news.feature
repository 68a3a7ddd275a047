Feature: A node applies a hub's updates at once

  Scenario: Updates that cross the reply to a heartbeat are applied at once
    Given a world with 2 plain endpoints and 1 node
    When a hub reports that one endpoint leaves, answers an earlier heartbeat and reports the other
    Then the node knows at once that both endpoints leave

  Scenario: Updates after a missed one are applied at once
    Given a world with 2 plain endpoints and 1 node
    When a hub's update on one endpoint is lost and the next reports that the other leaves
    Then the node knows at once that the other endpoint leaves
    And its next heartbeat requests the full state

  Scenario: A hub sends its own findings at once
    Given a world with 2 plain endpoints and 1 node
    When a hub without periodic updates finds a strike and a leaving endpoint
    Then the nodes that send it heartbeats receive both

  Scenario: A node that missed an update gets its content with the next one
    Given a world with 2 plain endpoints and 1 node
    When a hub finds a strike before it knows a node's address and a leaving endpoint afterwards
    Then that node receives both without a further heartbeat

  Scenario: An update is encoded once for all nodes
    Given a world with 2 plain endpoints and 1 node
    When a hub that receives heartbeats of 50 nodes reports a leaving endpoint
    Then 50 nodes receive the same encoded update

  # Guards against updates that are longer than a peer accepts.
  Scenario: Versions of a large configuration follow each other closely
    Given a world with 2 plain endpoints and 4 nodes
    When three versions of a configuration of 900 KB are written at the same moment
    Then every node has the last one within 2 seconds and no link was closed

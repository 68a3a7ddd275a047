Feature: A zone taken out gets no new work after a few seconds

  Scenario: One node is cut from the store before the zone is taken out
    Given a deployment of 3 nodes with links to the store and running load
    When node "node-2" is cut from the store
    And zone "lj-a" is taken out and 8 seconds pass
    Then zone "lj-a" got no new work after the time limit
    And zone "lj-a" got work before it was taken out
    And every caller got its complete answer

  Scenario: The only node is cut from the store and has no peer
    Given a deployment of 1 nodes with links to the store and running load
    When node "node-1" is cut from the store
    And zone "lj-a" is taken out and 8 seconds pass
    Then zone "lj-a" got no new work after the time limit
    And zone "lj-a" got work before it was taken out
    When node "node-1" reaches the store again
    Then every caller got its complete answer

  Scenario: A node is frozen while the zone is taken out, then thawed
    Given a deployment of 3 nodes with links to the store and running load
    When node "node-2" is frozen
    And zone "lj-a" is taken out and 6 seconds pass
    And node "node-2" is thawed and 4 seconds pass
    Then zone "lj-a" got no new work after the time limit
    And every caller got its complete answer

  Scenario: The store goes down right after it accepts the edit
    Given a deployment of 3 nodes with links to the store and running load
    When zone "lj-a" is taken out and the store goes down at once
    And 8 seconds pass
    Then zone "lj-a" got no new work after the time limit
    When the store comes back
    Then every caller got its complete answer

  Scenario: The watch event of the edit is lost
    Given a deployment of 3 nodes with links to the store and running load
    When the store drops its next change
    And zone "lj-a" is taken out and 8 seconds pass
    Then zone "lj-a" got no new work after the time limit
    And every caller got its complete answer

  Scenario: Two operators concurrently take the zone out and in
    Given a deployment of 3 nodes with links to the store and running load
    When two operators concurrently take zone "lj-a" out, in and out
    And 8 seconds pass
    Then every node reports that zone "lj-a" is out
    And zone "lj-a" got no new work after the time limit
    And every caller got its complete answer

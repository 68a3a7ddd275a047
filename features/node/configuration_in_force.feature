Feature: An accepted configuration is in force everywhere and never reverts

  Scenario: Two operators edit concurrently while answers and watch events are lost
    Given a deployment of 3 nodes with links to the store
    And every node is polled for its revision continuously
    When the store loses 3 answers and drops 2 changes
    And two operators concurrently mark VMs out and in 6 times
    Then every accepted revision was in force at every node within 5 seconds
    And no node reverted to an older revision

  Scenario: An old watch event is delivered late
    Given a deployment of 3 nodes with links to the store
    And every node is polled for its revision continuously
    When VM "vm-report-1" is marked out
    And the store sends its oldest change to a watch again
    And VM "vm-report-2" is marked out
    And 3 seconds pass
    Then every accepted revision was in force at every node within 3 seconds
    And no node reverted to an older revision

  Scenario: The watch events of an edit are lost
    Given a deployment of 3 nodes with links to the store
    And every node is polled for its revision continuously
    When the store drops its next change
    And VM "vm-report-1" is marked out
    Then every accepted revision was in force at every node within 3 seconds

  Scenario: An edit is in force everywhere when nothing fails
    Given a deployment of 3 nodes with links to the store
    And every node is polled for its revision continuously
    When VM "vm-report-1" is marked out
    Then every accepted revision was in force at every node within 1 seconds

  Scenario: A node starts while the store is down
    Given a deployment of 3 nodes with links to the store
    And VM "vm-report-1" is marked out
    When the store goes down
    And node "node-3" is killed and started again
    Then node "node-3" has the newest revision within 5 seconds

  Scenario: A node that is cut from the store gets revisions from its peers
    Given a deployment of 3 nodes with links to the store
    And every node is polled for its revision continuously
    When node "node-2" is cut from the store
    And VM "vm-report-1" is marked out
    And 3 seconds pass
    Then every accepted revision was in force at every node within 3 seconds

  Scenario: The only node starts while the store is down
    Given a deployment of 1 nodes with links to the store
    When the store goes down
    And node "node-1" is killed and started again
    And 3 bookings are each tried for 2 seconds
    Then every booking was answered not run
    When the store comes back
    And 3 bookings are each tried for 10 seconds
    Then every booking was answered done

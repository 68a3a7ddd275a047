Feature: Nodes keep what is in force when the store is restored from a copy

  The copy is some seconds old: revisions go back and are given out again.

  Scenario: A newer configuration is in force under a lower revision
    Given a world with 2 plain endpoints and 3 nodes
    When the store is restored, the operator writes version 5 again and then version 6 with a route
    Then every node serves the new route within 2 seconds

  # Guards against an order of versions that ignores where the store wrote them.
  Scenario: A version that was lost is written again with other content
    Given a world with 2 plain endpoints and 3 nodes
    When the store is restored and the operator writes version 5 again with a route
    Then every node serves the new route within 2 seconds

  Scenario: Changes are seen after the revisions have passed those of before
    Given a world with 2 plain endpoints and 3 nodes
    When the store is restored and passes its old revision before any node asks
    Then every node serves the new route within 2 seconds

  Scenario: A node that cannot reach the store learns of the restore from its peers
    Given a world with 2 plain endpoints and 3 nodes
    When the store is unreachable for one node, restored, and a route is added
    Then every node serves the new route within 2 seconds

  Scenario: A second restore is followed like the first
    Given a world with 2 plain endpoints and 2 nodes
    When the store is restored twice and a route is added
    Then every node serves the new route within 2 seconds

  Scenario: A withdrawn key stays withdrawn
    Given a world with 2 plain endpoints and 2 nodes
    When the store is restored from before a key was withdrawn and another node starts
    Then no node serves the key

  Scenario: An endpoint that has left stays out of use
    Given a world with 2 plain endpoints and 2 nodes
    When the store is restored from before an endpoint left
    Then that endpoint gets no request

  Scenario: An endpoint that the copy does not have stays in use until it is registered again
    Given a world with 1 plain endpoints and 2 nodes
    When the store is restored from before the endpoint was registered
    Then each call in the next 4 seconds is served

  Scenario: An endpoint that is not registered again within 2 seconds is gone
    Given a world with 2 plain endpoints and 2 nodes
    When the store is restored without an endpoint that does not come back
    Then that endpoint is in no node's registry after 4 seconds

  Scenario: A closed zone stays closed until the operator has written again
    Given a world with 2 plain endpoints and 2 nodes
    When the store is restored from before the zone was closed
    Then no call is served

  Scenario: The nodes' records are back within 2 seconds
    Given a world with 2 plain endpoints and 3 nodes
    When the store is restored from before the nodes registered
    Then each node's record is in the store under a lease within 2 seconds

  Scenario Outline: An era that is <kind> changes nothing
    Given a world with 2 plain endpoints and 2 nodes
    When the store is restored and then names the era "<era>"
    Then every node serves the new route within 2 seconds
    And every node is in era 1

    Examples:
      | kind     | era                 |
      | absent   | none                |
      | negative | -3                  |
      | no number| soon                |
      | too large| 9999999999999999999 |

  Scenario: An answer of an earlier era is ignored
    Given a world with 2 plain endpoints and 2 nodes
    When the store is restored and answers of the era before follow
    Then every node is in era 2
    And no node serves the key

Feature: Nodes follow the configuration when their connections fall silent

  Connections that are open at one moment pass nothing from then on; new ones
  work. A node is in touch again 3 seconds later.

  # Guards against nodes that take a silent connection for a lost hub or store.
  Scenario Outline: Connections <where> fall silent while the configuration changes
    Given <nodes> nodes in touch with each other and the store
    When all connections <where> fall silent while a version is written each 0.3 seconds
    Then each version is in force 2 seconds after it was written at all nodes in touch

    Examples:
      | nodes | where                      |
      | 4     | everywhere                 |
      | 6     | everywhere                 |
      | 4     | between the nodes          |
      | 4     | to the store               |

  # Guards against hubs whose updates are lost on a link that fell silent.
  Scenario: Updates reach the nodes again after their links fell silent
    Given a world with 2 plain endpoints and 4 nodes
    When the open connections between the nodes fall silent while endpoints change
    Then no hub is excluded
    And from 3 seconds later on no node needs the full state

  # Guards against nodes that learn of a change late although they are in touch
  # again: a link that fell silent long before is still used for the change.
  Scenario Outline: Changes reach all nodes some time after their links fell silent
    Given a world with 3 plain endpoints and <nodes> nodes
    When a share of <share> of the open connections between the nodes falls silent
    And <seconds> seconds later a version is written and an endpoint leaves
    Then both are known at all nodes within 2 seconds

    Examples:
      | nodes | share | seconds |
      | 4     | 0.7   | 4.5     |
      | 4     | 1.0   | 3.0     |
      | 7     | 0.7   | 4.5     |
      | 7     | 0.4   | 3.0     |
      | 7     | 1.0   | 6.0     |

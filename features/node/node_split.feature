Feature: Capacity limits of endpoints during a network partition

  Nodes on different sides do not reach each other. All reach the engines, the
  callers and, unless a scenario says otherwise, the platform's store. Each
  side acts as if it were the whole set and continues to grant permits; the
  endpoints' ledgers show whether a limit was exceeded. The work is short and
  the engines are cold, so that two owners which grant the same capacity at the
  same time are detected.

  Background:
    Given the Vodnik example runs with 3 nodes and links between them
    And 30 callers ask all nodes for 8 reports of 10 tokens in turn

  Scenario Outline: The set of nodes is split under full load and heals
    When the links between <sides> are <mode>
    Then within 8 seconds an endpoint has an owner on each side
    When the split has lasted 10 seconds and heals
    Then work began on engines during the split
    And all nodes name the same owners again
    And all reports arrive complete
    And all invariants of the run hold

    Examples:
      | sides                               | mode    |
      | "node-1" and "node-2, node-3"       | cut     |
      | "node-1" and "node-2, node-3"       | stalled |
      | "node-1" and "node-2" and "node-3"  | cut     |

  Scenario: One direction fails: no other node's connections reach one node
    When the links to "node-1" are stalled
    And the split has lasted 10 seconds and heals
    Then work began on engines during the split
    And all nodes name the same owners again
    And all reports arrive complete
    And all invariants of the run hold

  Scenario: The smaller side is cut off from the store too
    When the links between "node-1" and "node-2, node-3" are cut
    And node "node-1" of the run is cut off from the store
    Then within 8 seconds node "node-1" is isolated
    When the split has lasted 10 seconds and heals
    Then work began on engines during the split
    And all nodes name the same owners again
    And all reports arrive complete
    And all invariants of the run hold

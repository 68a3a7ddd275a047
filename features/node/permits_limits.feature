Feature: Capacity limits of endpoints during failures of nodes

  No endpoint gets more work than its capacity while cold, whichever nodes
  ask for permits and whichever of them fail. The scenarios check this against
  the ledgers that the endpoints keep.

  Background:
    Given the Vodnik example runs with 3 nodes

  Scenario: All engines are cold and every node is asked at once
    When 24 callers ask all nodes for reports of 60 tokens
    Then all reports arrive complete
    And all invariants of the run hold

  Scenario: Engines die and return cold under full load
    Given 24 callers ask all nodes for reports of 60 tokens
    When engines report-1 and report-2 die and start again
    Then all reports arrive complete
    And all invariants of the run hold

  Scenario Outline: A node fails under full load
    Given 24 callers ask all nodes for reports of 60 tokens
    When the node that owns engine report-1 <failure>
    And 24 callers ask all nodes for reports of 60 tokens
    Then all reports arrive complete
    And all invariants of the run hold

    Examples:
      | failure                                     |
      | is killed                                   |
      | is killed and started again                 |
      | is frozen for 7 seconds, longer than a loan |

  Scenario Outline: The endpoints of a killed node get work from other nodes
    Given 24 callers ask all nodes for reports of 60 tokens
    When the node that owns engine report-1 <failure>
    And callers ask all nodes for reports of 60 tokens until engine report-1 has work
    Then all reports arrive complete
    And engine report-1 got work from another node
    And all invariants of the run hold

    Examples:
      | failure                        |
      | is killed                      |
      | is killed with messages unread |

  Scenario: The store is down throughout
    When the platform's store goes down for good
    And 24 callers ask all nodes for reports of 60 tokens
    And the node that owns engine report-1 is killed
    And 12 callers ask all nodes for reports of 60 tokens
    Then all reports arrive complete
    And all invariants of the run hold

  Scenario: Calls of a cold service from every node at once
    When 30 callers ask all nodes for idempotent calls
    Then all calls are answered
    And all invariants of the run hold

Feature: Permits for work at one endpoint

  Scenario: Shares divide a bound
    Then shares of any bound sum to it and grow with it
    And the slots of any endpoint are distinct and always the same

  Scenario Outline: No history exceeds the limit
    When permits run 300 histories with limit <limit> and seed <seed>
    Then the endpoint never ran more than the permits' limit

    Examples:
      | limit | seed |
      | 4     | 1    |
      | 4     | 2    |
      | 1     | 3    |

  Scenario Outline: Each protection is needed
    Then within 2000 histories of seeds 1 to 6 the limit is exceeded unless "<protection>"

    Examples:
      | protection                               |
      | lenders remember that slots had a holder |
      | new holders wait out old loans           |
      | lenders have one borrower at a time      |
      | loans have terms                         |
      | shares are settled by a report           |
      | reports are newer than the loan          |
      | work of others is counted                |
      | permits end before the loan              |
      | shares return after the permits          |
      | borrowers count from the request         |
      | permits are checked before use           |

  Scenario: A restarted node inherits its slots
    Given a view of 9 slots over nodes a,b,c
    When node b restarts and inherits its slots
    Then the view has epoch 2 and slot counts a/1=3 b/2=3 c/1=3
    And the only slots that never moved are those of a,c

  Scenario: Slots of a node that is gone move to the others
    Given a view of 9 slots over nodes a,b,c
    When node b is gone and its slots are reassigned
    Then the view has epoch 2 and slot counts a/1=5 c/1=4

  Scenario: A new node gets slots from the nodes that hold more
    Given a view of 12 slots over nodes a,b
    When node c joins and the others move at most 1 slots each
    Then the view has epoch 3 and slot counts a/1=5 b/1=5 c/1=2
    When the others of node c move at most 9 slots each
    Then the view has epoch 5 and slot counts a/1=4 b/1=4 c/1=4

  Scenario: The first live holder owns an endpoint
    Given a view of 9 slots over nodes a,b,c
    Then with only b,c live the owner of slots 0,2,1 is c
    And with only x live the owner of slots 0,2,1 is None

Feature: Roll-outs of versions of engines, and orders that change

  Scenario Outline: Of 3 nodes, a version of engines that is <kind> is <state>
    Given a world with 4 engines of version 1, 4 of version 2 and 3 nodes, and streams that may resume
    When version 2 is ordered over <seconds> seconds, is <kind>, and nothing happens
    Then the roll-out is <state> before its end
    And its endpoints got nothing before it was running
    And they got no more than a tenth of the requests and 50 before completion
    And they got nothing 1 second after a roll-back, and the old ones nothing 1 second after completion
    And no stream went on at another version before the decision
    And at least <served>% of the requests were served

    Examples: guards against streams that are not counted, or moved between versions
      | kind          | seconds | state       | served |
      | good          | 12      | completed   | 98     |
      | breaking      | 12      | rolled_back | 90     |
      | slow          | 12      | rolled_back | 90     |
      | slow in pace  | 12      | rolled_back | 90     |

  Scenario: A node that sees 50 bad responses stops on its own
    Given a world with 4 endpoints of version 1, 4 of version 2 and 1 nodes
    When version 2 is ordered over 25 seconds, fails from its third stage on with a share of 0.3, and the store takes no writes
    Then the node has stopped by itself after at most 75 bad responses

  Scenario: An order for the version in service changes nothing
    Given a world with 2 endpoints of version 1, 2 of version 2 and 2 nodes
    When version 2 is completed, the old endpoints go, and it is ordered again
    Then it is completed and every request was served

  Scenario: An order that changes begins anew and bars the version before
    Given a world with 2 endpoints of version 1, 2 of version 2 and 2 nodes
    When version 2 is ordered and after 2 seconds version 3 instead
    Then version 3 is running, version 2 gets nothing, and the bar is in the store

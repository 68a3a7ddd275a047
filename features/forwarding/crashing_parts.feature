Feature: A part of prompts that crashes engines is refused

  # Guards against a crashing part of prompts whose requests are all different.
  Scenario: Requests with a part of a prompt that crashes engines are refused
    Given a world with 6 engines and 3 nodes
    When 12 different prompts with a part that crashes engines reach all nodes in turn, each beside a sound prompt
    Then at most 5 endpoints crashed
    And the last 6 requests with the part are refused with a time to retry
    And sound prompts with all other parts are served by every node

  # Guards against parts that are cleared by the event before the crash.
  Scenario Outline: Parts that crash engines after the answer began are refused
    Given a world with <engines> and 3 nodes
    When 12 different prompts with a part that crashes engines after <events> events reach all nodes in turn, each beside a sound prompt
    Then at most 5 endpoints crashed
    And the last 6 requests with the part are refused with a time to retry
    And sound prompts with all other parts are served by every node

    Examples:
      | engines                     | events |
      | 6 engines                   | 1      |
      | 6 engines                   | 10     |
      | 6 engines that keep backups | 1      |

  # Guards against a crashing part whose requests arrive many at a time.
  Scenario: Requests with a struck part are sent one at a time
    Given a world with 6 engines and 3 nodes
    When 3 prompts with a part that crashes engines reach all nodes each 0.1 seconds for 9 seconds
    Then at most 3 requests with the part arrive later than 3 seconds after the fifth crash
    And the last 6 requests with the part are refused with a time to retry

  # Guards against parts that are refused since they came with a crashing one.
  Scenario: Parts that came only with a crashing part stay in use
    Given a world with 6 engines and 2 nodes
    When 10 different prompts with a part that crashes engines reach all nodes in turn
    Then the last 4 requests with the part are refused with a time to retry
    And sound prompts with all other parts are served by every node
    And requests with the part are still refused by every node

Feature: A request that crashes endpoints is refused after three crashes

  Scenario: Every node refuses the request after three crashes
    Given a world with 6 plain endpoints and 3 nodes
    When a client sends a request that crashes endpoints 10 times to all nodes in turn
    Then 3 endpoints crashed
    And its last answers are refusals with a time to retry
    And requests with other bodies are served by every node

  Scenario: Repeats of an idempotent request count as well
    Given a world with 6 plain endpoints and 2 nodes
    When a client sends an idempotent request that crashes endpoints 6 times
    Then 3 endpoints crashed

  Scenario: Requests beside it are not refused
    Given a world with 6 plain endpoints and 2 nodes
    When other requests run at each endpoint that crashes and are then repeated
    Then the other requests are all answered 200

  # Guards against a crashing part of prompts whose requests are all different.
  Scenario: Requests with a part of a prompt that crashes engines are refused
    Given a world with 6 engines and 3 nodes
    When 12 different prompts with a part that crashes engines reach all nodes in turn, each beside a sound prompt
    Then at most 5 endpoints crashed
    And the last 6 requests with the part are refused with a time to retry
    And sound prompts with all other parts are served by every node

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

  Scenario: Answers that break off do not count as crashes
    Given a world with 2 plain endpoints and 1 node
    And all endpoints that break off their answers
    When a client makes the same call 6 times
    Then each call reached an endpoint

  Scenario: Strikes against a request merge to the same result in any order
    When 300 random histories of strikes and completions reach three strike registries
    Then all strike registries agree after the same strikes
    And a request that was in progress at several simultaneous crashes is not refused

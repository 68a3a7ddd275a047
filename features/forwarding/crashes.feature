Feature: A request that crashes endpoints is refused after three crashes

  Scenario: Every node refuses the request after three crashes
    Given a world with 6 plain endpoints and 3 nodes
    When a client sends a request that crashes endpoints 10 times to all nodes in turn
    Then 3 endpoints crashed
    And its last answers are refusals with a time to retry
    And requests with other bodies are served by every node

  # Guards against crashes that do not count since the answer had begun.
  Scenario Outline: A request that crashes endpoints after its answer began is refused
    Given a world with <engines> and 3 nodes
    When a client sends a stream that crashes endpoints <moment> 10 times to all nodes in turn
    Then 3 endpoints crashed
    And its last answers are refusals with a time to retry
    And streams with other bodies are served by every node

    Examples:
      | engines                     | moment                       |
      | 6 engines                   | after 1 events               |
      | 6 engines                   | after 4 events               |
      | 6 engines                   | after 30 events              |
      | 6 engines that keep backups | after 1 events               |
      | 6 engines that keep backups | after 30 events              |
      | 6 engines                   | inside the body of a failure |

  # Guards against crashes that look like the end of an answer without a length.
  Scenario Outline: A request is refused when endpoints crash as its answer ends
    Given a world with 6 <endpoints> and 3 nodes
    And endpoints that end <answer> with a crash
    When a client sends a crashing <request> 10 times to all nodes in turn
    Then 3 endpoints crashed
    And its last answers are refusals with a time to retry
    And requests with other bodies are served by every node

    Examples:
      | endpoints       | request | answer                                   |
      | engines         | stream  | a stream that ends with the connection   |
      | plain endpoints | write   | a body that ends with the connection     |

  Scenario: Repeats of an idempotent request count as well
    Given a world with 6 plain endpoints and 2 nodes
    When a client sends an idempotent request that crashes endpoints 6 times
    Then 3 endpoints crashed

  Scenario: Requests beside it are not refused
    Given a world with 6 plain endpoints and 2 nodes
    When other requests run at each endpoint that crashes and are then repeated
    Then the other requests are all answered 200

  Scenario: Answers that break off do not count as crashes
    Given a world with 2 plain endpoints and 1 node
    And all endpoints that break off their answers
    When a client makes the same call 6 times
    Then each call reached an endpoint

  Scenario: Strikes against a request merge to the same result in any order
    When 300 random histories of strikes and completions reach three strike registries
    Then all strike registries agree after the same strikes
    And a request that was in progress at several simultaneous crashes is not refused

Feature: The callers' page

  Scenario: Every curl example of the page runs
    Given the Vodnik example runs with 2 nodes
    When the curl examples of docs/CALLERS.md run in order
    Then each of them gets the answer that the page states

  Scenario Outline: Invalid input gets a typed refusal and the node keeps serving
    Given the Vodnik example runs with 1 nodes
    When a caller posts <body> to "<path>" with key "<key>"
    Then the answer is <status> "<outcome>" "<kind>"
    And the node keeps serving

    Examples:
      | path         | body                 | key | status | outcome | kind              |
      | /v1/generate | no JSON              | k   | 400    | refused | invalid-body      |
      | /v1/generate | an unknown field     | k   | 400    | refused | invalid-body      |
      | /v1/generate | an unknown product   | k   | 404    | refused | unknown-product   |
      | /v1/generate | an unknown workspace | k   | 404    | refused | unknown-workspace |
      | /v1/generate | a service product    | k   | 400    | refused | wrong-kind        |
      | /v1/call     | a booking            | -   | 400    | refused | key-required      |
      | /v1/nowhere  | a booking            | k   | 404    | refused | unknown-path      |

  Scenario: A key with another body is refused
    Given the Vodnik example runs with 1 nodes
    When a caller posts a booking to "/v1/call" with key "k1"
    Then the answer is 200 "done" ""
    When a caller posts another booking to "/v1/call" with key "k1"
    Then the answer is 409 "refused" "key-reused"

  Scenario: Callers cannot use the operators' interface
    Given the Vodnik example runs with 1 nodes
    When a client requests the status without the operators' token
    Then it is refused with status 401
    When a client requests the status at the callers' address
    Then it is refused with status 404

Feature: Choice of an endpoint with its reasons

  Scenario: Each candidate that is not chosen has a reason
    Given these endpoints
      | name | zone | capacity | running | headroom | prefix | obstacle       |
      | e1   | a    | 8        | 8       | 9000     | 0      |                |
      | e2   | a    | 8        | 4       | 50       | 0      |                |
      | e3   | b    | 8        | 2       | 9000     | 0      | OUT_OF_SERVICE |
      | e4   | b    | 8        | 2       | 9000     | 0      |                |
      | e5   | a    | 8        | 7       | 3000     | 0      |                |
    When a prompt of 100 tokens is placed from zone "a"
    Then endpoint "e4" is chosen
    And the reasons are "e1 NO_CAPACITY, e2 NO_MEMORY, e3 OUT_OF_SERVICE, e5 COSTLIER"

  Scenario: A cached prefix is preferred among endpoints of similar load
    Given these endpoints
      | name | zone | capacity | running | headroom | prefix | obstacle |
      | e1   | a    | 8        | 3       | 8000     | 0      |          |
      | e2   | a    | 8        | 4       | 7500     | 900    |          |
    When a prompt of 1000 tokens is placed from zone "a"
    Then endpoint "e2" is chosen

  Scenario: A cached prefix does not outweigh a crowded engine
    Given these endpoints
      | name | zone | capacity | running | headroom | prefix | obstacle |
      | e1   | a    | 8        | 1       | 9000     | 0      |          |
      | e2   | a    | 8        | 7       | 1500     | 900    |          |
    When a prompt of 1000 tokens is placed from zone "a"
    Then endpoint "e1" is chosen

  Scenario: The caller's zone is preferred among equal endpoints
    Given these endpoints
      | name | zone | capacity | running | headroom | prefix | obstacle |
      | e1   | b    | 8        | 3       | 8000     | 0      |          |
      | e2   | a    | 8        | 3       | 8000     | 0      |          |
    When a prompt of 100 tokens is placed from zone "a"
    Then endpoint "e2" is chosen

  Scenario: No endpoint is chosen when none has capacity
    Given these endpoints
      | name | zone | capacity | running | headroom | prefix | obstacle |
      | e1   | b    | 8        | 8       | 8000     | 0      |          |
    When a prompt of 100 tokens is placed from zone "a"
    Then no endpoint is chosen

  Scenario: Cache hints are dropped across a gap
    Given cache events 1 to 3 stored prefixes "p1", "p2" and "p3"
    Then the endpoint holds "p2"
    When the next cache event is number 5
    Then the endpoint doesn't hold "p2"

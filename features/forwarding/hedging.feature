Feature: A late request is sent to a second endpoint where that is enabled

  # Guards against a late endpoint that keeps its callers waiting, and against a
  # cancelled run that counts as a failure or as a crash.
  Scenario: A late call is answered by a second endpoint
    Given a world with 4 plain endpoints and 1 node
    And a share of 0.2 may be hedged, and 100 "/read/" requests were answered
    And the metrics are read at the end
    When "/read/" requests are made until 2 are hedged, as one endpoint is late
    Then the hedged requests were answered and their first runs cancelled
    And the late endpoint has no failure, and no request a strike
    And the metrics count hedges that were sent and won

  # The switch is off by default. When all endpoints are late, the first requests
  # are hedged until another one is seen to be late as well.
  Scenario Outline: Requests that are never hedged
    Given a world with 4 plain endpoints and 1 node
    And a share of <share> may be hedged, and 100 "/read/" requests were answered
    When 12 "<target>" requests are made while <endpoints> takes 0.2 seconds
    Then at most <hedges> requests were hedged

    Examples:
      | share | target  | endpoints     | hedges |
      | 0     | /read/  | one endpoint  | 0      |
      | 0.2   | /write/ | one endpoint  | 0      |
      | 0.2   | /read/  | each endpoint | 2      |

  # The limits of an attempt hold as without hedging where no hedge is sent.
  Scenario Outline: Faults of endpoints have the same effect with hedging
    Given a world with 4 plain endpoints and 1 node
    And a share of 0.2 may be hedged, and 100 "/read/" requests were answered
    And one endpoint that <fault>
    When a client makes 12 idempotent calls
    Then each call was answered 200
    And each call took at most 1.0 seconds
    And no request ran at more endpoints than its attempts

    Examples:
      | fault               |
      | rejects requests    |
      | refuses connections |
      | hangs               |
      | fails               |

  # A hedged request that fails at both endpoints has used its two attempts.
  Scenario: Both runs fail
    Given a world with 4 plain endpoints and 1 node
    And a share of 0.2 may be hedged, and 100 "/read/" requests were answered
    And all endpoints that fail
    When 12 "/read/" requests are made while one endpoint takes 0.2 seconds
    Then no request ran at more endpoints than its attempts

  # The first run must not go on beside the second one, nor its events be mixed.
  Scenario: A resumable stream that is late before its first event
    Given engines with resumable streams
    And a share of 0.2 may be hedged, and 100 "/stream/" requests were answered
    When "/stream/" requests are made until 2 are hedged, as one endpoint is late
    Then the hedged requests were answered and their first runs cancelled
    And each stream was complete and each of its events came once
    And no run is left at the node

  # The end of its connection does not stop a run at each endpoint.
  Scenario Outline: The first run of a hedged stream goes on after its connection is closed
    Given engines with resumable streams
    And a share of 0.2 may be hedged, and 100 "/stream/" requests were answered
    And one engine that is late with <what> and keeps its runs
    When "/stream/" requests are made until 2 are hedged
    Then the late engine has made no event of the hedged runs
    And each stream was complete and each of its events came once

    Examples:
      | what             |
      | its first events |
      | its heads        |

  # A client that leaves ends both runs.
  Scenario: The client of a hedged call closes its connection
    Given a world with 4 plain endpoints and 1 node
    And a share of 0.2 may be hedged, and 100 "/read/" requests were answered
    When a client leaves a call that runs at two endpoints
    Then both runs are cancelled

Feature: A call runs at most as often as its route allows

  Scenario Outline: A call that has not run is sent to another endpoint
    Given a world with 2 plain endpoints and 1 node
    And one endpoint that <fault>
    When a client makes 6 once-only calls
    Then each call was answered 200
    And no call ran twice

    Examples:
      | fault                          |
      | rejects requests               |
      | has another identity           |
      | refuses connections            |

  Scenario Outline: A once-only call that may have run is not sent again
    Given a world with 2 plain endpoints and 1 node
    And all endpoints that <fault>
    When a client makes 2 once-only calls
    Then no call ran twice
    And no answer states that the call has not run
    And no client got a success

    Examples:
      | fault                     |
      | break off their answers   |
      | do not sign their answers    |
      | answer a different request   |

  Scenario: A failed idempotent call runs at most as often as its route allows
    Given a world with 4 plain endpoints and 1 node
    And all endpoints that fail
    When a client makes 3 idempotent calls
    Then each call ran twice
    And each call was answered 500

  Scenario: An idempotent call is answered by another endpoint when one hangs
    Given a world with 2 plain endpoints and 1 node
    And one endpoint that hangs
    When a client makes 4 idempotent calls
    Then each call was answered 200
    And each call took at most 2.0 seconds

  Scenario: A call to a hanging endpoint is answered at the time limit of its route
    Given a world with 1 plain endpoints and 1 node
    And one endpoint that hangs
    When a client makes 1 once-only calls
    Then each call was answered 504
    And each call took at most 3.5 seconds

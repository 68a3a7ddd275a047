Feature: What may be sent again, and what not

  Scenario Outline: A call that did not run goes to another endpoint
    Given a world with 2 plain endpoints and 1 node
    And one endpoint that <fault>
    When a client makes 6 once-only calls
    Then each call was answered 200
    And no call ran twice

    Examples:
      | fault                          |
      | turns requests away            |
      | has another identity           |
      | refuses connections            |

  Scenario Outline: A once-only call that may have run is not sent again
    Given a world with 2 plain endpoints and 1 node
    And all endpoints that <fault>
    When a client makes 2 once-only calls
    Then no call ran twice
    And no answer promises that it has not run
    And no client got a success

    Examples:
      | fault                     |
      | break off their answers   |
      | leave their answers unsigned |
      | answer another request    |

  Scenario: A failed idempotent call runs at most as often as its route allows
    Given a world with 4 plain endpoints and 1 node
    And all endpoints that fail
    When a client makes 3 idempotent calls
    Then each call ran twice
    And each call was answered 500

  Scenario: A hanging endpoint does not cost an idempotent call its answer
    Given a world with 2 plain endpoints and 1 node
    And one endpoint that hangs
    When a client makes 4 idempotent calls
    Then each call was answered 200
    And each call took at most 2.0 seconds

  Scenario: A call is answered when its route's time has passed
    Given a world with 1 plain endpoints and 1 node
    And one endpoint that hangs
    When a client makes 1 once-only calls
    Then each call was answered 504
    And each call took at most 3.5 seconds

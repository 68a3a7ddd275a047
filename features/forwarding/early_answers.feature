Feature: Endpoints that answer before a long body has been sent

  Scenario Outline: A rejection before the body's end reaches the client
    Given a world whose plain endpoint rejects bodies early and <then>
    When a client sends a body of 4 MB
    Then it gets the endpoint's rejection whole within 2 seconds
    And the endpoint was asked once

    Examples:
      | then             |
      | closes           |
      | reads no further |

  Scenario Outline: A request that is turned away early goes elsewhere
    Given a world whose plain endpoint turns requests away early and <then>
    And it has a second, sound one
    When a client sends a body of 4 MB
    Then the second endpoint's answer reaches it within 2 seconds

    Examples:
      | then             |
      | closes           |
      | reads no further |

  Scenario: An endpoint that reads a long body slowly gets all of it
    Given a world with 1 plain endpoints and 1 node
    When a client sends a body of 4 MB
    Then the endpoint has read all of it

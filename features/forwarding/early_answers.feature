Feature: Endpoints that answer before a long body has been sent

  Scenario Outline: A client gets a rejection that is sent before the end of its body
    Given a world whose plain endpoint rejects bodies early and <then>
    When a client sends a body of 4 MB
    Then the client gets the endpoint's complete rejection within 2 seconds
    And the endpoint was asked once

    Examples:
      | then                  |
      | closes the connection |
      | stops reading         |

  Scenario Outline: A request that is answered early as not run is sent to another endpoint
    Given a world whose plain endpoint answers early that a request has not run and <then>
    And a second endpoint that works
    When a client sends a body of 4 MB
    Then the client gets the second endpoint's answer within 2 seconds

    Examples:
      | then                  |
      | closes the connection |
      | stops reading         |

  Scenario: An endpoint that reads slowly gets a long body completely
    Given a world with 1 plain endpoints and 1 node
    When a client sends a body of 4 MB
    Then the endpoint has read the whole body

Feature: Inputs from the platform are validated

  Scenario Outline: Any input is decoded to a value or a typed error
    When 400 generated <inputs> are decoded
    Then each gives a value or a typed error

    Examples:
      | inputs                      |
      | settings files              |
      | manifests                   |
      | endpoint records            |
      | clients' requests           |
      | endpoints' answers          |
      | answers of the store        |
      | answers of engines to calls |

  Scenario: Bytes that are no valid message disturb no other connection
    Given a world with 2 plain endpoints and 2 nodes
    When 60 random byte strings are sent to each address of a node
    Then each client call in the meantime was answered with status 200
    And the node still lists its peer as a member

  Scenario: Invalid answers of the store do not affect client requests
    Given a world with 2 plain endpoints and 1 node
    When the store answers each call with generated bodies for 2 seconds
    Then each client call in the meantime was answered with status 200

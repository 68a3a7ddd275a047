Feature: What comes over the platform's borders is checked

  Scenario Outline: Anything that comes gives a value or a typed error
    When 400 drawn <inputs> are decoded
    Then each gave a value or a typed error

    Examples:
      | inputs                      |
      | settings files              |
      | manifests                   |
      | endpoint records            |
      | clients' requests           |
      | endpoints' answers          |
      | answers of the store        |
      | answers of engines to calls |

  Scenario: Bytes that are no message end their connection only
    Given a world with 2 plain endpoints and 2 nodes
    When 60 drawn byte strings are sent to each address of a node
    Then each call meanwhile was answered 200
    And the node knows its peer as before

  Scenario: A store whose answers are no answers changes nothing
    Given a world with 2 plain endpoints and 1 node
    When the store answers each call with drawn values for 2 seconds
    Then each call meanwhile was answered 200

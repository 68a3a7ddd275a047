Feature: Brittle endpoints are not overloaded

  All answers of a brittle endpoint name how many requests it may turn away in a
  second for want of room; with one more it falls over.

  Scenario Outline: <nodes> nodes do not overload brittle endpoints under a burst
    Given a world with 3 plain endpoints and <nodes> nodes
    When the endpoints are brittle and <clients> clients send calls to each node
    Then no more than 2 endpoints fall over
    And calls are served as fast as half of the slots allow

    Examples:
      | nodes | clients |
      | 2     | 20      |
      | 4     | 20      |
      | 6     | 4       |

  Scenario: Brittle endpoints are not overloaded when the hub that places ends
    Given a world with 3 plain endpoints and 4 nodes
    When the endpoints are brittle and the hub ends while 10 clients send calls to each node
    Then no more than 2 endpoints fall over

  Scenario: Brittle engines are not overloaded
    Given a world with 3 engines and 4 nodes
    When the engines are brittle and 10 clients send generations to each node
    Then no more than 2 endpoints fall over

  Scenario Outline: A header that is <kind> names nothing
    Given a world with 2 plain endpoints and 2 nodes
    When all answers of the endpoints say that they are brittle as "<text>"
    Then no endpoint counts as brittle and each call was served

    Examples:
      | kind      | text        |
      | empty     |             |
      | negative  | -1          |
      | no number | some        |
      | too large | 99999999999 |

  Scenario: An endpoint that no longer says so is not brittle
    Given a world with 2 plain endpoints and 2 nodes
    When the endpoints are brittle and after 3 seconds no longer say so
    Then no endpoint counts as brittle and each call was served

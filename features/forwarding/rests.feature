Feature: An endpoint may ask a node to leave it alone for a time

  Scenario: It gets nothing from the node until the time has passed
    Given a world with 2 plain endpoints and 1 node
    When an endpoint asks to be left alone for 1.5 seconds while calls are made
    Then it gets nothing until the time has passed, and then requests again
    And each call was answered 200

  Scenario: Generations that a hub places keep away from it too
    Given a world with 3 engines and 3 nodes
    When an engine asks a node that is no hub to be left alone for 30 seconds
    Then it gets no stream of that node, but of others

  Scenario: When all ask for it, the caller is refused at once
    Given a world with 2 plain endpoints and 1 node
    When all endpoints ask to be left alone for 4 seconds
    Then a client is refused within 0.3 seconds and told to come back in 3.5 to 6 seconds

  Scenario: A short rest of all is waited for
    Given a world with 2 plain endpoints and 1 node
    When all endpoints ask to be left alone for 0.15 seconds
    Then a client's next call is answered 200

  Scenario Outline: What names no time means nothing
    When an endpoint turns a request away with "<text>"
    Then no rest is read from it

    Examples:
      | text   |
      | soon   |
      | -3     |
      | nan    |
      | inf    |
      |        |

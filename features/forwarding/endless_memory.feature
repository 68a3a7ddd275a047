@alone
Feature: A node survives endpoints that send without end to many requests

  # Guards against the end of the process for lack of memory, and against a node
  # that answers nobody else.
  Scenario Outline: <calls> requests of kind <kind> get <what> without end
    Given a node with 64 MB and endpoints that send <what> without end
    When <calls> clients make a <kind>
    Then its process lives within 64 MB
    And it answers one ordinary request

    Examples:
      | calls | kind   | what                 |
      | 100   | read   | a body with a length |
      | 100   | read   | a body in chunks     |
      | 100   | read   | a body until its end |
      | 100   | read   | a head               |
      | 100   | read   | trailers             |
      | 100   | once   | a failure in chunks  |
      | 100   | stream | a failure in chunks  |
      | 100   | stream | an event             |

  Scenario: Reports of engines do not end while the store is silent
    Given a node with 64 MB and engines whose reports do not end
    When the store falls silent while 24 clients make a stream
    Then reports are asked for
    And its process lives within 64 MB
    And it answers one ordinary request

  Scenario: Answers without end come through another node
    Given a node that reaches an endpoint that sends a body with a length without end only through another one
    When 80 calls lead through the other one
    Then the memory of both nodes grows by at most 64 MB

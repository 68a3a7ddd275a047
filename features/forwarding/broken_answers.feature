Feature: Answers of faulty endpoints are neither completed nor trusted

  Scenario Outline: A request whose answer stops inside its head gets no success
    Given a world whose <endpoint> answers with <what>
    When a client makes a once-only request
    Then the client got no success
    And no answer states that the request has not run

    Examples:
      | endpoint       | what                         |
      | plain endpoint | a part of a status line      |
      | plain endpoint | a status line                |
      | plain endpoint | a part of a head             |
      | plain endpoint | a part of a header line      |
      | plain endpoint | a head without its last byte |
      | engine         | a part of a head             |
      | engine         | a head without its last byte |

  # Guards against a refusal of another request that is taken for this one's.
  Scenario Outline: A refusal that names another request does not count
    Given a world whose <endpoint> answers with <what>
    And a second endpoint that works
    When a client makes a once-only request
    Then no answer states that the request has not run
    And the request reached one endpoint only

    Examples:
      | endpoint       | what                                 |
      | plain endpoint | a refusal of an earlier request      |
      | plain endpoint | a misdirection of an earlier request |
      | engine         | a refusal of an earlier request      |

  Scenario: An answer that ends with its connection is complete
    Given a world whose plain endpoint answers with a body that ends with the connection
    When a client makes a once-only request
    Then the client got the complete answer "whole"

  Scenario: A stream that ends with its connection is complete
    Given a world whose engine answers with a stream that ends with the connection
    When a client makes a once-only request
    Then the client got a stream of 2 events that is complete

  # Guards against streams that look complete and end inside an event.
  Scenario Outline: A stream that ends inside an event is broken off
    Given a world whose engine answers with <what>
    When a client makes a once-only request
    Then the client got a stream of 2 events that is broken off

    Examples:
      | what                                   |
      | a stream that ends inside an event     |
      | a stream that ends before a blank line |

Feature: Bytes without end that are no answer

  Scenario Outline: A call whose endpoint sends bytes without end is answered
    Given a world whose plain endpoint sends <what> without end
    When a client makes 1 once-only calls
    Then no client got a success
    And no answer promises that it has not run
    And the node closed the connection having read at most 20 MB
    And it serves other requests

    Examples:
      | what                 |
      | a head               |
      | interim answers      |
      | garbage              |
      | a body with a length |
      | a body in chunks     |
      | a body until its end |
      | a chunk size         |

  Scenario Outline: A stream with an event without end is broken off
    Given a world whose engine sends <what> without end
    When a client asks for 1 stream
    Then no client got a whole answer
    And each call took at most 7.0 seconds
    And the node closed the connection having read at most 20 MB

    Examples:
      | what                   |
      | an event               |
      | an event, byte by byte |

  Scenario: A slow but sound stream is not cut
    Given a world with 1 engines and 1 node
    When a client asks for a stream of 3 events, one each 2.5 seconds
    Then the stream ended whole

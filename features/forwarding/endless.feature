Feature: Endpoints that send data without end

  Scenario Outline: A call fails when its endpoint sends data without end
    Given a world whose plain endpoint sends <what> without end
    When a client makes 1 once-only calls
    Then no client got a success
    And no answer states that the call has not run
    And the node closed the connection after reading at most 20 MB
    And the node serves other requests

    Examples:
      | what                 |
      | a head               |
      | interim answers      |
      | garbage              |
      | a body with a length |
      | a body in chunks     |
      | a body until its end |
      | a chunk size         |

  Scenario Outline: A stream is aborted when one of its events does not end
    Given a world whose engine sends <what> without end
    When a client asks for 1 stream
    Then no client got a complete answer
    And each call took at most 7.0 seconds
    And the node closed the connection after reading at most 20 MB

    Examples:
      | what                   |
      | an event               |
      | an event, byte by byte |

  Scenario: A slow stream that makes progress is not aborted
    Given a world with 1 engines and 1 node
    When a client asks for a stream of 3 events, one each 2.5 seconds
    Then the stream was complete

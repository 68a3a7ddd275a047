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

  # Guards against failures that are awaited without a time limit.
  Scenario Outline: An answer without end is given up at the timeout of its route
    Given a world whose <endpoint> sends <what> without end, and routes with a timeout of 3 seconds
    When a client that waits for 12 seconds makes a <request>
    Then its answer or its connection ended at most 3.5 seconds later
    And the node closed the connection after reading at most 20 MB

    Examples:
      | endpoint       | request | what                                  |
      | engine         | stream  | a failure in chunks, byte by byte     |
      | engine         | stream  | a failure with a length, byte by byte |
      | engine         | stream  | a failure until its end, byte by byte |
      | engine         | stream  | a failure with trailers, byte by byte |
      | engine         | stream  | a failure in chunks                   |
      | engine         | stream  | a head, byte by byte                  |
      | engine         | stream  | interim answers                       |
      | engine         | stream  | a stream of events                    |
      | engine         | stream  | a flood of events                     |
      | plain endpoint | write   | a failure in chunks, byte by byte     |
      | plain endpoint | write   | a failure until its end, byte by byte |
      | plain endpoint | write   | a body, byte by byte                  |
      | plain endpoint | read    | a failure in chunks, byte by byte     |
      | plain endpoint | read    | a head, byte by byte                  |

  Scenario: A failure without end is given up before a long timeout
    Given a world whose engine sends a failure in chunks, byte by byte without end
    When a client that waits for 12 seconds makes a stream
    Then its answer or its connection ended at most 7.0 seconds later

  Scenario: A slow stream that makes progress is not aborted
    Given a world with 1 engines and 1 node
    When a client asks for a stream of 3 events, one each 2.5 seconds
    Then the stream was complete

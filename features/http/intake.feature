Feature: An HTTP server bounds what its clients make it hold

  # Guards against bodies that are read wrongly or refused although they are
  # within the limits, and against refusals without the promise that the
  # request has not run.

  Scenario Outline: A request with <body>, sent in pieces of <size> bytes, gets <status>
    When a request with <body> is sent to a bounded HTTP server in pieces of <size> bytes
    Then its response is <status>, and says that it has not run unless it was served

    Examples:
      | body                             | size    | status |
      | a length                         | 1000    | 200    |
      | the longest body                 | 65536   | 200    |
      | the longest body, large chunks   | 65536   | 200    |
      | the longest body, tiny chunks    | 65536   | 200    |
      | chunks, extensions and trailers  | 1       | 200    |
      | chunks, extensions and trailers  | 7       | 200    |
      | chunks, extensions and trailers  | 1000    | 200    |
      | a chunk size that is no number   | 1000    | 400    |
      | a chunk without its line end     | 1000    | 400    |
      | an endless line of a chunk       | 1000    | 400    |
      | a length beyond the limit        | 1000    | 413    |
      | chunks beyond the limit          | 65536   | 413    |
      | a body that stalls               | 1000    | 408    |
      | a head that stalls               | 1000    | 408    |

  Scenario Outline: A stream that its <version> client does not read is never complete
    When a client of <version> does not read an endless stream of a bounded HTTP server
    Then the stream ends within its memory, and not as complete

    Examples:
      | version  |
      | HTTP/1.1 |
      | HTTP/1.0 |

  Scenario: A body for which there is no memory is refused until there is some
    When a body is sent to a bounded HTTP server while another takes its memory
    Then its response is 503, and says that it has not run unless it was served
    And it names a time to retry
    And the same body is served after the other one has stalled for a second

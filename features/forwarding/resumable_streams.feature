Feature: Streams of resumable routes go on after the last event

  # A node that dropped Last-Event-Id repeated the events that the client had.
  Scenario: A client resumes after the last event that it has
    Given engines with resumable streams
    When a client resumes a stream of 20 events after event 3
    Then the client got events 4 to 20, each once and in order
    And the stream was complete

  # An endpoint that ignores the header must not make the client see events twice.
  Scenario: An endpoint that begins at the first event again
    Given engines with resumable streams
    And engines that ignore the last event
    When a client resumes a stream of 20 events after event 3
    Then the client got events 4 to 20, each once and in order

  # Other routes run at most once, so that the header must not reach an endpoint.
  Scenario: The header is dropped where streams may not be resumed
    Given a world with 2 engines and 1 node
    When a client resumes a stream of 20 events after event 3
    Then the client got 20 events, each once and in order
    And no endpoint got the last event

  # Without a copy or backup such a stream was cut, although it may be repeated.
  Scenario: A stream runs anew at another endpoint when its endpoint dies
    Given engines with resumable streams
    When an engine dies without notice while it streams 60 events
    Then the client got 60 events, each once and in order
    And the stream was complete
    And 2 endpoints ran the generation

  # The bound on attempts holds for streams too.
  Scenario: A stream does not run at more endpoints than its attempts
    Given engines with resumable streams
    When two engines die one after the other while they stream 60 events
    Then the client got the first events, each once and in order
    And the stream was not complete
    And 2 endpoints ran the generation

  Scenario: A stream that breaks before its first event runs at another endpoint
    Given engines with resumable streams
    And the next answer of an engine is reset
    When a client asks for a stream of 20 events
    Then the client got 20 events, each once and in order
    And the stream was complete

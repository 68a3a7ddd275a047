Feature: Streams of one generation are joined at event boundaries

  Scenario: Each event is delivered once and in order wherever streams are cut
    Then wherever streams are cut and continued, events come once and in order

  Scenario: A truncated event is sent again by the next stream
    Given the events 1 to 3 and a truncated event 4
    When the generation continues with the events 4 to 6
    Then events 1 to 6 were passed on completely

  Scenario: Repeated events are dropped
    Given the events 1 to 5 and a truncated event 6
    When the generation continues with the events 3 to 8
    Then events 1 to 8 were passed on completely

  Scenario: A missing event ends the stream
    Given the events 1 to 3 and a truncated event 4
    When the generation continues with the events 6 to 8
    Then an event is reported as missing and 1 to 3 were passed on

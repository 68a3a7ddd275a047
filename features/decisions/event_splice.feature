Feature: Streams of one generation are joined on whole events

  Scenario: Any cut of any stream gives each event once and in order
    Then however streams are cut and continued, events come once and in order

  Scenario: A torn event comes again from the next stream
    Given the events 1 to 3 and a torn event 4
    When the generation goes on with the events 4 to 6
    Then events 1 to 6 were passed on whole

  Scenario: Repeated events are dropped
    Given the events 1 to 5 and a torn event 6
    When the generation goes on with the events 3 to 8
    Then events 1 to 8 were passed on whole

  Scenario: A missing event ends the stream
    Given the events 1 to 3 and a torn event 4
    When the generation goes on with the events 6 to 8
    Then an event is reported as missing and 1 to 3 were passed on

Feature: A forwarding node serves its counters and histograms

  Scenario: The metrics count a stream that moved to another engine
    Given a world with 3 engines and 1 node
    And the metrics are read at the end
    When an engine leaves with notice while it streams 60 events
    Then the metrics count 1 answer of route "streams" with status 200
    And the metrics count 1 stream of "engines" that ended "whole"
    And the metrics count 2 sends to "engines" that were "answered"
    And the metrics count at least 1 copy of "engines" that was "done"
    And the histograms of first events and longest gaps hold 1 stream

  Scenario: The metrics count a refused request
    Given a world with 2 plain endpoints and 1 node
    And the metrics are read at the end
    When a client asks for "/none/a" with the key "key-1"
    Then the metrics count 1 answer of route "" with status 404

  Scenario: The metrics count a request that found no endpoint
    Given a world with 1 plain endpoints and 1 node
    And the metrics are read at the end
    And one endpoint that refuses connections
    When a client asks for "/read/a" with the key "key-1"
    Then the metrics count 1 answer of route "reads" with status 503
    And the metrics count at least 1 send to "plain" that was "not run"

  Scenario: A node whose metrics address is in use still serves requests
    Given a world with an endpoint and a node whose metrics address is in use
    When a client calls "/read/a" with the body "hello"
    Then the answer has status 200 and the body "/read/a hello"

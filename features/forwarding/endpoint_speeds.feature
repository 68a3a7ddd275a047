Feature: Nodes learn the speeds of endpoints and tell their hubs

  # One node sees too few streams of an engine to know its speed.
  Scenario: A hub learns a slow engine from the streams of another node
    Given engines with resumable streams and a second node
    And the metrics are read at the end
    When an engine takes 3 times as long for its events while one node asks for streams
    Then the other node knows that this engine is slower
    And random placements differ from those without learned speeds
    And the metrics show the speed of 3 engines

  Scenario: Speeds are neither reported nor used without resumable services
    Given a world with 3 engines and 2 nodes
    When an engine takes 3 times as long for its events while one node asks for streams
    Then no node has learned a speed or reported one
    And random placements are the same as without learned speeds

  # A client that reads slowly must not make an engine look slow, nor must a
  # prompt that delays one event.
  Scenario Outline: The gap between events with <what>
    When events arrive after waits of "<waits>" ms and the client takes "<reads>" ms for each
    Then the measured gap is <gap> ms

    Examples:
      | what                        | waits                   | reads       | gap  |
      | equal gaps                  | 30 30 30 30 30 30       | 0 0 0 0 0 0 | 30   |
      | one gap that is delayed     | 30 30 90 30 31 30       | 0 0 0 0 0 0 | 30   |
      | too few gaps                | 30 30 30 30 30          | 0 0 0 0 0   | none |
      | a client that reads slowly  | 30 5 5 5 5 5            | 60 60 60 60 60 60 | none |

  # A peer's bug must not make engines look useless.
  Scenario Outline: A report with <what> is ignored
    Given engines with resumable streams and a second node
    When a peer reports <events> events in <microseconds> microseconds with <running> running
    Then the report is ignored with a log event

    Examples:
      | what                        | events | microseconds | running |
      | a negative number of events | -5     | 100000       | 5       |
      | a negative time             | 5      | -100000      | 5       |
      | a negative load             | 5      | 100000       | -5      |
      | no time for its events      | 5      | 0            | 5       |
      | events of hours             | 5      | 900000000000 | 5       |
      | a time without events       | 0      | 100000       | 0       |

  # The new process may run on another machine.
  Scenario: The speed of an engine that has restarted is unknown
    Given engines with resumable streams and a second node
    When a peer reports slow events of an engine, and the engine restarts
    Then its speed is the usual one

  # All nodes of a zone sent their calls to its only endpoint.
  Scenario Outline: Calls are spread over the zones only beside resumable services
    Given <endpoints>
    When 3 nodes make 20 calls each while one of three endpoints is in their zone
    Then the endpoints got "<calls>" calls

    Examples:
      | endpoints                                                   | calls    |
      | plain endpoints and 3 nodes beside engines with resumable streams | 20 20 20 |
      | a world with 3 plain endpoints and 3 nodes                  | 60 0 0   |

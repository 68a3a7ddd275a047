Feature: Requests of all nodes wait in one queue at the first hub

  Scenario: A more urgent request of another node goes first
    Given a fleet of 3 nodes with a queue
    When a usual request of one node waits, then an urgent one of another
    Then the urgent request ran first

  Scenario Outline: The first hub <fault> while <count> requests wait
    Given a fleet of 3 nodes with a queue
    When <count> requests of one node wait and the first hub <fault>
    Then all waited at the second hub within <seconds> s
    And each stream was complete and ran once

    Examples:
      | fault           | count | seconds |
      | dies            | 200   | 1       |
      | answers nothing | 20    | 1       |

  Scenario: Requests whose clients disconnect are forgotten at the hub
    Given a fleet of 3 nodes with a queue
    When 5 requests of one node wait and their clients disconnect
    Then the hub has no request, no place and no load

  Scenario: The metrics of the hub count waiting requests and places
    Given a fleet of 1 nodes with a queue
    And the metrics are read at the end
    When 3 requests wait at the end
    Then the metrics count 3 queued requests of rank "2.0" and workspace "usual"

  Scenario Outline: There is no queue <where>
    Given a fleet of 3 nodes with a queue
    When a stream is requested <where>
    Then the stream was complete
    And the hub has had no queue

    Examples:
      | where                                   |
      | at a hub of form 1                      |
      | of a service that is not resumable      |

  Scenario Outline: A place that <fault> leaves the hub as it was
    Given a fleet of 3 nodes with a queue
    When a hub grants a place that <fault>
    Then the hub has no request, no place and no load

    Examples:
      | fault                                |
      | is offered where nothing waits       |
      | is offered by a hub that was left    |
      | is returned twice                    |
      | is not used since its node died      |

  Scenario Outline: A request with "<value>" as its <field> is not queued
    Given a fleet of 3 nodes with a queue
    When a hub gets a request with "<value>" as its <field>
    Then the hub has no request, no place and no load

    Examples:
      | field         | value |
      | wait_ms       | -1    |
      | waited_ms     | -1    |
      | prompt_tokens | -5    |
      | attempt       |       |

  Scenario: A hub that has just become one treats its engines as full
    Given a fleet of 3 nodes with a queue
    When a hub without heartbeats is asked for a place
    Then the place is given once the heartbeats are there

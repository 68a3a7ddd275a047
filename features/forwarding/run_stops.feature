# Guards against a run that two endpoints work on: an answer was lost, the run
# went on at another endpoint, and the endpoint before worked on to its end.
Feature: A run is stopped before it goes on at another endpoint

  Scenario Outline: An engine loses an answer by <loss> and works on
    Given a world with 3 engines that keep backups and 1 node
    When an engine loses the answer of a run of 130 events by <loss>
    Then the client got 130 events, each once and in order
    And the stream was complete
    And no engine worked on the run 0.4 seconds after another one began
    And no engine keeps a copy that was made to stop the run

    Examples:
      | loss    |
      | reset   |
      | silence |

  Scenario: The node reaches the engine through another node only
    Given a world with 3 engines that keep backups and 2 nodes
    And a node that reaches engines through the other one only
    When an engine loses the answer of a run of 130 events by reset
    Then the client got 130 events, each once and in order
    And no engine worked on the run 0.4 seconds after another one began

  Scenario: A resumable run begins anew at another engine
    Given engines with resumable streams
    When an engine loses the answer of a run of 130 events by reset
    Then the client got 130 events, each once and in order
    And no engine worked on the run 0.4 seconds after another one began
    And no engine keeps a copy that was made to stop the run

  Scenario: The answer of a resumable run is lost before its head
    Given engines with resumable streams
    And the next answer of an engine is lost before its head
    When a client asks for a stream of 60 events
    Then the client got 60 events, each once and in order
    And no engine worked on the run 0.4 seconds after another one began

  Scenario: A run goes on from the copy of an engine that leaves
    Given a world with 3 engines and 1 node
    When an engine that leaves loses the answer of a run of 130 events
    Then the client got 130 events, each once and in order
    And no engine worked on the run 0.4 seconds after another one began

  Scenario: Two engines lose the answer one after the other
    Given a world with 4 engines that keep backups and 1 node
    When 2 engines lose the answer of a run of 130 events
    Then the client got 130 events, each once and in order
    And no engine worked on the run 0.4 seconds after another one began

  Scenario Outline: The first requests to stop a run <have no effect>
    Given a world with 3 engines that keep backups and 1 node
    And engines at which the first 2 requests to stop a run <have no effect>
    When an engine loses the answer of a run of 130 events by reset
    Then the client got 130 events, each once and in order
    And no engine worked on the run 0.4 seconds after another one began

    Examples:
      | have no effect            |
      | are lost                  |
      | come while a copy is made |

  Scenario: The engine with the backup has no room for a copy
    Given a world with 3 engines that keep backups and 1 node
    And engines without room for a copy
    When an engine loses the answer of a run of 130 events by reset
    Then the client got 130 events, each once and in order
    And no engine worked on the run 0.4 seconds after another one began
    And no engine keeps a copy that was made to stop the run

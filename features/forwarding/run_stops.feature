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

  # Guards against a run that goes on elsewhere while its engine, busy with a
  # copy, refuses to stop it.
  Scenario Outline: An answer is lost while <copy> of the run is made
    Given a world with 3 engines and 1 node
    When an engine that leaves loses the answer of a run of 130 events while <copy> is made for 2.5 seconds
    Then the client got 130 events, each once and in order
    And the stream was complete
    And no engine worked on the run 0.4 seconds after another one began
    And the engine was asked to stop the run 6 times at most

    Examples:
      | copy        |
      | a copy      |
      | a newer one |

  Scenario: No copy of a run is begun after its answer was lost
    Given a world with 3 engines and 1 node
    When an engine that leaves loses the answer of a run of 130 events while a newer one is made for 2.5 seconds
    Then the engine was asked for no copy after the loss but to stop the run

  # The endpoint says throughout that it works on the run.
  Scenario Outline: A run whose engine cannot be stopped ends with its client's patience
    Given <engines>
    And engines at which the first 1000 requests to stop a run come while a copy is made
    When an engine loses the answer of a run of 700 events by reset
    Then the stream was not complete
    And the client was told within 6.5 seconds
    And 1 endpoints ran the generation

    Examples:
      | engines                                             |
      | a world with 3 engines that keep backups and 1 node |
      | engines with resumable streams                      |

  # Guards against a second request that the first one's copy holds up.
  Scenario: Two requests to stop one run are one
    Given a world with 3 engines that keep backups and 1 node
    When a run of 130 events is to be stopped twice at the same time
    Then the engine was asked to stop the run 1 times at most

  Scenario: An engine is out of reach while a copy of the run is made
    Given a world with 3 engines and 1 node
    When an engine that leaves is out of reach while a newer copy of a run of 130 events is made
    Then the client got 130 events, each once and in order
    And the stream was complete

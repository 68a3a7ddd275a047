Feature: Engine client against the engine stand-in

  Background:
    Given an engine stand-in with fast steps

  Scenario: A complete generation is streamed and matches the ledger
    When an engine client generates 50 tokens
    Then the engine text is complete with 50 tokens from one generation
    And the engine ledger lists the generation with 50 tokens and reason "stop"

  Scenario: A broken stream is resumed at an offset without loss
    When an engine client reads 20 tokens of 400 and closes the connection
    And the engine client resumes after its last token
    Then the engine text is complete with 400 tokens from one generation

  Scenario: An abandoned generation ends after its grace period
    When an engine client reads 20 tokens of 30000 and closes the connection
    Then the engine ledger soon shows the reason "abandoned"
    And the engine reports an unknown generation to a resume

  Scenario: A cancelled generation ends and a second cancel is harmless
    When an engine client reads 20 tokens of 30000 and cancels it twice
    Then the engine ledger soon shows the reason "cancelled"

  # A generation that goes on elsewhere must not run here beside it.
  Scenario: A cancel reaches an engine whose open connections fell silent
    When the engine silences its connections and its generation is cancelled
    Then the engine ledger soon shows the reason "cancelled"

  Scenario: A start on a refused connection is reported as not started
    Given the engine stand-in has stopped
    Then an engine start fails as not started with kind "unreachable"

  Scenario: A start with a model that the engine lacks starts nothing
    Then an engine start of model "other" fails as not started with kind "no-model"

  Scenario: A crash resets the streams and changes the restart id
    When the engine crashes during a running stream
    Then the engine stream is broken
    And the engine soon reports another restart id
    And the engine reports an unknown generation to a resume

  Scenario: A crash resets the streams after another client has disconnected
    When an engine client reads 20 tokens of 30000 and closes the connection
    And the engine crashes during the running stream of another client
    Then the engine stream is broken
    And the engine soon reports another restart id

  Scenario: A prompt with a marker token crashes the engine
    Given the engine crashes on prompt token 13
    When an engine client generates from a prompt with token 13
    Then the engine stream is broken
    And the engine soon reports another restart id

  Scenario: Open connections can fall silent while new ones work
    When the engine silences its connections during a running stream
    Then the engine stream stays silent for 2 seconds
    And the engine client resumes after its last token
    And the engine text is complete with 300 tokens from one generation

  Scenario: A repeated token after a resume is visible to the client
    Given the engine repeats a token on the next resume
    When an engine client reads 20 tokens of 400 and closes the connection
    Then the engine resume begins 1 token early

  Scenario: A skipped token after a resume is visible to the client
    Given the engine skips a token on the next resume
    When an engine client reads 20 tokens of 400 and closes the connection
    Then the engine resume begins 1 token late

  Scenario: An engine that turns cold crashes when overloaded
    When the engine turns cold and gets 4 generations after the onset
    Then the engine ledger records an excess
    And the engine soon reports another restart id

  Scenario: Orders are fenced, take time and leave the engine cold
    When the engine is ordered with fencing 7 to load model "next-model"
    Then the engine order with fencing 6 is outdated with highest 7
    And the engine soon reports model "next-model"
    And the engine is cold

  Scenario: A frozen engine answers late
    When the engine freezes for 1 second
    Then the engine load call fails with an unknown outcome or answers late

  Scenario: Heartbeats arrive while a generation waits
    Given an engine stand-in with slow steps
    When an engine client waits for a generation to start
    Then the engine stream carries a heartbeat before the first token

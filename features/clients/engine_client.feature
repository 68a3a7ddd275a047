Feature: Engine client against the engine stand-in

  Background:
    Given an engine stand-in with fast steps

  Scenario: A generation is streamed whole and the ledger agrees
    When an engine client generates 50 tokens
    Then the engine text is whole with 50 tokens from one generation
    And the engine ledger lists the generation with 50 tokens and reason "stop"

  Scenario: A broken stream is resumed by offset without loss
    When an engine client reads 20 tokens of 400 and closes the connection
    And the engine client resumes after what it has
    Then the engine text is whole with 400 tokens from one generation

  Scenario: An abandoned generation ends after its grace
    When an engine client reads 20 tokens of 30000 and closes the connection
    Then the engine ledger soon shows the reason "abandoned"
    And the engine answers a resume with an unknown generation

  Scenario: A cancelled generation ends and a second cancel is harmless
    When an engine client reads 20 tokens of 30000 and cancels it twice
    Then the engine ledger soon shows the reason "cancelled"

  Scenario: A refused connection says that nothing was started
    Given the engine stand-in has ended
    Then an engine start fails as not started with kind "unreachable"

  Scenario: Another model is refused with nothing started
    Then an engine start of model "other" fails as not started with kind "no-model"

  Scenario: A crash resets the streams and changes the restart id
    When the engine crashes under a running stream
    Then the engine stream is broken
    And the engine soon reports another restart id
    And the engine answers a resume with an unknown generation

  Scenario: A crash resets the streams after a reader went away
    When an engine client reads 20 tokens of 30000 and closes the connection
    And the engine crashes under the running stream of another client
    Then the engine stream is broken
    And the engine soon reports another restart id

  Scenario: A marked prompt crashes the engine
    Given the engine crashes on prompt token 13
    When an engine client generates from a prompt with token 13
    Then the engine stream is broken
    And the engine soon reports another restart id

  Scenario: Open connections go silent while new ones work
    When the engine silences its connections under a running stream
    Then the engine stream stays silent for 2 seconds
    And the engine client resumes after what it has
    And the engine text is whole with 300 tokens from one generation

  Scenario: A repeated token after a resume can be seen
    Given the engine repeats a token on the next resume
    When an engine client reads 20 tokens of 400 and closes the connection
    Then the engine resume begins 1 token early

  Scenario: A skipped token after a resume can be seen
    Given the engine skips a token on the next resume
    When an engine client reads 20 tokens of 400 and closes the connection
    Then the engine resume begins 1 token late

  Scenario: An engine that turns cold falls over under too much work
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
    Then the engine load call fails with an unknown outcome or comes late

  Scenario: Heartbeats come while a generation waits
    Given an engine stand-in with slow steps
    When an engine client waits for a generation to start
    Then the engine stream carries a heartbeat before the first token

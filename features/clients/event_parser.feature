Feature: Parser of engine events

  Scenario: Events are parsed the same wherever the pieces end
    When engine events are cut at random places
    Then the engine event parser returns the same events

  Scenario: Arbitrary bytes are parsed into typed events only
    When random bytes are fed to the engine event parser
    Then the engine event parser returned typed events only

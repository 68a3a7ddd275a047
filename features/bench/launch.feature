Feature: Processes of tests end with them

  Scenario: Two processes of one name both end
    Given a launcher that started two stores under one name
    When the launcher is closed
    Then both of them have ended

  Scenario: A run that is told to end leaves no process behind
    Given a run that started a process
    When the run is told to end
    Then the process it started has ended

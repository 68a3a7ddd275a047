Feature: Processes started by a test run stop with it

  Scenario: Two processes started under one name both stop
    Given a launcher that started two stores under one name
    When the launcher is closed
    Then both processes have stopped

  Scenario: A run that receives SIGTERM leaves no process behind
    Given a run that started a process
    When the run receives SIGTERM
    Then the process that it started has stopped

Feature: The summary of a run lists what failed

  Scenario: A failed scenario is printed with its step, error and time
    Given a report with a scenario that failed after 2.5 seconds
    When the summary is printed
    Then it has the line "failed: A thing works"
    And it has the line "  at features/thing.feature:3, error after 2.5 s"
    And it has the line "  step: When it is asked (features/steps/thing.py:7)"
    And it has the line "ValueError: at the end"
    And its last line is "1 passed, 1 failed"
    And its exit status is 1

  Scenario: A known red scenario is printed with its step and not counted as failed
    Given a report with a scenario that failed after 2.5 seconds
    And it is listed as known red
    When the summary is printed
    Then it has the line "known red: A thing works"
    And it has the line "  step: When it is asked (features/steps/thing.py:7)"
    And its last line is "1 passed, 0 failed"
    And its exit status is 0

  Scenario: An example of an outline is known red by its name without the blank at its end
    Given a report with a scenario that failed after 2.5 seconds
    And its name ends with a blank
    And it is listed as known red
    When the summary is printed
    Then it has the line "known red: A thing works"
    And its last line is "1 passed, 0 failed"

  Scenario: The logs are limited in length, with an equal share for each scenario
    Given a report with a scenario that failed after 2.5 seconds
    And 40 failed scenarios with 3 logs of 9000 characters each
    When the summary is printed
    Then it has the line "=== logs of scenario 39"
    And it is at most 65000 characters long
    And its last line is "1 passed, 1 failed"

  Scenario: The end of each log is kept
    Given a report with a scenario that failed after 2.5 seconds
    And 1 failed scenarios with 3 logs of 9000 characters each
    When the summary is printed
    Then it has the line "--- node-2.log"
    And 3 lines of it are "last line"
    And it is at most 9000 characters long

  Scenario: A run with no report fails
    When the summary is printed
    Then it has the line "failed: no scenario was reported"
    And its last line is "0 passed, 1 failed"
    And its exit status is 1

Feature: Loops of a node wake up together

  Scenario: Loops with related intervals share their wake-ups
    When loops of 0.25, 0.5, 1 and 2 seconds run for 60 seconds of a simulated clock
    Then the process wakes up once for each quarter of a second
    And no loop sleeps longer than its interval plus one hundredth

Feature: A node finds out which endpoints it does not reach by itself

  Scenario: One blocked path says nothing about the others
    Given a node whose path to "a" is blocked
    Then it tries "b" directly, and "a" only after 1 second
    And it is not cut off

  Scenario: Blocked paths in a row make a node that is cut off
    Given a node whose paths to "a" and then "b" are blocked
    Then it is cut off
    And it tries one endpoint a second directly, whichever it is

  Scenario: A direct connection in between shows that a node is not cut off
    Given a node whose paths to "a" and then "b" are blocked, with a direct connection to "c" in between
    Then it is not cut off

  Scenario: The first direct connection ends the cut
    Given a node whose paths to "a" and then "b" are blocked
    When it connects to "a" directly
    Then it is not cut off
    And it tries "a" directly at once

  Scenario: Requests through peers do not put off the next direct attempt
    Given a node whose path to "a" is blocked
    When peers reach "a" for it 20 times in 1 second
    Then it tries "a" directly after 1 second

Feature: Concurrent edits through a store process

  Scenario: Twelve operators edit while answers are lost and the store goes down
    Given a store process holding the tables of example "vodnik"
    When 12 operators each change a different row at once while answers are lost and the store goes down
    Then each operator's answer is correct and no edit is stored twice
    And every edit is accepted when repeated with its id

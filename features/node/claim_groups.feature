Feature: Claims are committed in groups

  Scenario: Many claims of one node need few writes
    When one node claims 320 keys at once
    Then every claim is granted
    And the store took at most 48 writes

  Scenario: Lost answers, lost requests and late writes never grant a key twice
    Then under any store faults at most one of two nodes is granted a key

  Scenario: An outcome recorded by one node is returned by another
    When two nodes use one key and the first records "done"
    Then the second node gets the outcome "done"

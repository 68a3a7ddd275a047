Feature: State of the store stand-in

  Scenario: Compare-and-swap lets only one of two concurrent writers succeed
    Given an empty store state
    When two writers write the same key at the revision they both read
    Then exactly one of the two writes succeeds
    And the other gets a conflict with the revision of the successful write

  Scenario: An expired lease removes its keys and cannot be renewed
    Given an empty store state
    When a key is written with a lease of 2 seconds granted at 10 seconds
    Then the key exists at 11.9 seconds
    And the key is gone at 12 seconds
    And renewal of the expired lease and writes with it are refused

  Scenario: A watch from a revision before the retained changes is refused as compacted
    Given an empty store state retaining 5 changes
    When 20 changes are written
    Then a watch after revision 3 is compacted
    And a watch after revision 17 has 3 changes

  Scenario: Random calls keep the data and the change log consistent
    Then random store calls with seed 11 keep the state consistent

  Scenario: Calls above the rate limit are refused and counted
    Given a rate limit of 3 reads and 2 writes per second
    When 5 reads, 4 writes and 1 watch arrive within one second
    Then 3 reads, 2 writes and 0 watches are accepted and 5 are refused
    And calls are accepted again in the next second

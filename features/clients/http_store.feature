Feature: Store client against the store stand-in

  Background:
    Given a store process and a client of it

  Scenario: A value is written, read, listed, watched and deleted
    When the client writes "v" under "t/a b/é" expecting no value
    Then reading "t/a b/é" gives "v" at that revision
    And listing "t/" gives that one entry
    And a watch after revision 0 gives that one change
    And a second write expecting no value is a conflict at that revision
    And after a delete the key does not exist

  Scenario: A waiting watch is woken by a write
    When a watch of 10 seconds waits while a write comes
    Then the watch ends with that write in under 5 seconds

  Scenario: A lost answer is told apart from a refused write
    When the store loses the answer of the next write
    Then the write is reported as perhaps taken and reads back
    When the store is down
    Then a write is reported as not taken
    When the store is up again
    Then the refused write left no value

  Scenario: A store that hangs is reported within the timeout
    When the store hangs
    Then a write is reported as perhaps taken

  Scenario: A lease that lapses takes its keys along, also in an outage
    When a key is written with a lease of 0.3 seconds
    And the store is down for 1 second
    Then the leased key is gone and the lease is refused

  Scenario: Calls past the rate are told when to come back
    When the store takes 1 write a second and 5 writes come at once
    Then at least 3 writes are reported as not taken
    And the store ledger counts them as refused

  Scenario: A process that ended is reported as not reached
    When the store process is killed
    Then a write is reported as not taken

  Scenario: A value over the limit is refused
    Then writing a value of 1000001 bytes is refused for good

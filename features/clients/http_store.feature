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

  Scenario: A write ends a waiting watch
    When a watch of 10 seconds waits while a key is written
    Then the watch ends with that write in under 5 seconds

  Scenario: A lost response is distinguished from a rejected write
    When the store drops the response to the next write
    Then the write is reported as possibly applied and the value can be read
    When the store is down
    Then a write is reported as not applied
    When the store is up again
    Then the rejected write left no value

  Scenario: A store that hangs is reported within the timeout
    When the store hangs
    Then a write is reported as possibly applied

  Scenario: An expired lease removes its keys, also during an outage
    When a key is written with a lease of 0.3 seconds
    And the store is down for 1 second
    Then the leased key is gone and the lease cannot be renewed

  Scenario: Calls above the rate limit get a time to retry after
    When the store accepts 1 write per second and gets 5 writes in a row
    Then at least 3 writes are reported as not applied
    And the store ledger counts them as refused

  Scenario: A store that was killed is reported as unavailable
    When the store process is killed
    Then a write is reported as not applied

  Scenario: A value over the size limit is rejected
    Then writing a value of 1000001 bytes is rejected permanently

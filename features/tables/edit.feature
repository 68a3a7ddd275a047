Feature: Edits of the configuration

  Background:
    Given a store holding the tables of example "vodnik"

  Scenario: Two operators change different rows at once
    Given operator A sets the weight of workspace "kranj-dom" to 5
    And operator B sets the weight of workspace "koper-obala" to 4
    When B's edit is accepted between A's read and A's write
    Then A's edit is accepted
    And workspace "kranj-dom" has weight 5
    And workspace "koper-obala" has weight 4

  Scenario: Two operators change the same row at once
    Given operator A sets the weight of workspace "kranj-dom" to 5
    And operator B sets the weight of workspace "kranj-dom" to 4
    When B's edit is accepted between A's read and A's write
    Then A's edit fails with RowConflict naming "workspace kranj-dom"
    And workspace "kranj-dom" has weight 4

  Scenario: Two edits that are valid alone use the same address
    Given operator A adds endpoint "report-7" to pool "report-model" at "127.0.0.1:21050"
    And operator B adds endpoint "report-8" to pool "report-model" at "127.0.0.1:21050"
    When B's edit is accepted between A's read and A's write
    Then A's edit fails with InvalidTables naming "endpoint report-"
    And the store holds 10 endpoints

  Scenario: The answer of a write is lost after it took effect
    Given operator A sets the weight of workspace "kranj-dom" to 5
    When A commits while the answer of the write is lost
    Then A's edit is accepted
    And the store was written once since the tables were applied

  Scenario: The answer of a write is lost and the write takes effect later
    Given operator A sets the weight of workspace "kranj-dom" to 5
    When A commits while the write is delayed and its answer is lost
    And the delayed write takes effect
    Then A's edit is accepted
    And the store was written once since the tables were applied

  Scenario: The store is down
    Given operator A sets the weight of workspace "kranj-dom" to 5
    When A commits while the store is down
    Then A's edit fails with EditNotWritten naming "run the command again"
    And the store was written 0 times since the tables were applied

  Scenario: The answer is lost and the store stays down
    Given operator A sets the weight of workspace "kranj-dom" to 5
    When A commits while the answer is lost and the store goes down
    Then A's edit fails with EditUnknown naming "--edit-id"
    When A commits the same edit again with the store up
    Then A's edit is accepted
    And the store was written once since the tables were applied

  Scenario: A delayed write takes effect after later ones were refused
    Given operator A sets the weight of workspace "kranj-dom" to 5
    When A commits while the write is delayed and all later ones are refused
    Then A's edit fails with EditUnknown naming "--edit-id"
    When the delayed write takes effect
    And A commits the same edit again with the store up
    Then A's edit is accepted
    And the store was written once since the tables were applied

  Scenario: A zone that no endpoint row names is refused without force
    Given operator A takes zone "lj-x" out of service
    When A commits
    Then A's edit fails with UnknownLocation naming "lj-a, lj-b, lj-c"

  Scenario: A stored value that cannot be decoded is replaced only on request
    Given the stored value is damaged
    And operator A sets the weight of workspace "kranj-dom" to 5
    When A commits
    Then A's edit fails with UnreadableDocument naming "--replace"
    Given operator A replaces the tables by those of example "salvagewright"
    When A commits
    Then A's edit is accepted
    And the store holds 10 endpoints

  Scenario: Concurrent edits are atomic despite lost answers and outages
    Then no order of calls, faults and outages loses, repeats or splits an edit

  Scenario: An edit id is reused with other changes
    Given operator A sets the weight of workspace "kranj-dom" to 5
    When A commits
    Then A's edit is accepted
    Given operator A sets the weight of workspace "kranj-dom" to 6
    When A commits
    Then A's edit fails with EditIdReused naming "without --edit-id"
    And workspace "kranj-dom" has weight 5

  Scenario: An accepted edit is repeated with nothing left to change
    Given operator A sets the weight of workspace "kranj-dom" to 5
    When A commits
    And A commits no changes with the same edit id
    Then A's edit is accepted
    And the store was written once since the tables were applied

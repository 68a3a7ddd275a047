Feature: The command for operators

  Background:
    Given a store and the tables of the Vodnik example

  Scenario: Tables are checked, applied, shown and compared
    When the operator runs "tables check ROUTES POOLS"
    Then the command ends with status 0
    When the operator runs "tables apply ROUTES POOLS"
    Then the command ends with status 0
    And its JSON output has "changes" 25
    When the operator runs "tables diff ROUTES POOLS"
    Then its JSON output has no "changes"
    When the operator runs "tables apply ROUTES POOLS"
    Then its JSON output has "changes" 0

  # Nothing else tells of a row that no request can reach.
  Scenario: The check names rows without effect and the changes, and writes nothing
    Given the operator has run "tables apply ROUTES POOLS"
    And the pools file has a pool that no route names, without endpoints
    When the operator runs "tables check ROUTES POOLS"
    Then the command ends with status 0
    And its JSON output has 2 findings at "[pool spare]" and 1 change
    When the operator runs "tables check ROUTES POOLS --strict"
    Then the command ends with status 3
    When the operator runs "tables show"
    Then its JSON output has "revision" 1

  Scenario: All faults of the tables are listed at once and nothing is written
    Given the pools file has a row for an unknown pool and a duplicate address
    When the operator runs "tables apply ROUTES POOLS"
    Then the command ends with status 3
    And its error names "nowhere" and "127.0.0.1:21001"
    When the operator runs "tables show"
    Then its JSON output has "revision" 0

  Scenario: Two operators can edit different rows
    Given the operator has run "tables apply ROUTES POOLS"
    And two operators have run "tables show --directory DIRECTORY"
    When the first sets "priority" of "[route booking]" to "3" and applies
    And the second sets "deadline_seconds" of "[route visit-history]" to "9" and applies
    Then the command ends with status 0
    And both changes are stored

  Scenario: The later of two edits of the same row is refused
    Given the operator has run "tables apply ROUTES POOLS"
    And two operators have run "tables show --directory DIRECTORY"
    When the first sets "priority" of "[route booking]" to "3" and applies
    And the second sets "priority" of "[route booking]" to "4" and applies
    Then the command ends with status 4
    And its error names "route booking" and "tables show --directory"

  Scenario: One operator can apply twice from the same directory
    Given the operator has run "tables apply ROUTES POOLS"
    And two operators have run "tables show --directory DIRECTORY"
    When the first sets "priority" of "[route booking]" to "4" and applies
    And the second sets "deadline_seconds" of "[route visit-history]" to "9" and applies
    And the first sets "priority" of "[route booking]" to "3" and applies
    Then the command ends with status 0
    And both changes are stored

  Scenario: A zone is taken out, listed and brought back
    Given the operator has run "tables apply ROUTES POOLS"
    When the operator runs "zone out lj-a --reason flood"
    Then the command ends with status 0
    When the operator runs "zone list"
    Then its JSON output names "lj-a" as out for "flood"
    When the operator runs "zone in lj-a"
    And the operator runs "zone list"
    Then its JSON output has no "out"

  Scenario: An unknown zone is refused and the known zones are listed
    Given the operator has run "tables apply ROUTES POOLS"
    When the operator runs "zone out lj-x"
    Then the command ends with status 3
    And its error names "lj-a" and "--force"

  Scenario: An edit is not written while the store is down
    Given the operator has run "tables apply ROUTES POOLS"
    And the store is down
    When the operator runs "zone out lj-a"
    Then the command ends with status 5
    And its error names "not written" and "run the command again"

  Scenario: An accepted edit whose answer is lost is reported as done
    Given the operator has run "tables apply ROUTES POOLS"
    And the store loses its next answer
    When the operator runs "zone out lj-a --reason frost"
    Then the command ends with status 0
    When the operator runs "zone list"
    Then its JSON output names "lj-a" as out for "frost"

  Scenario: Without a store address the error names the option and the setting
    When an operator without settings runs "zone list"
    Then the command ends with status 2
    And its error names "--store" and "[platform] store"

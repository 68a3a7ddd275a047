Feature: A configuration is checked before it is sent

  # Each fault would be accepted by the nodes and fail requests, or do nothing.
  Scenario Outline: A fault of a configuration is found
    Given a configuration without findings
    When it is checked when <fault>
    Then the check ends with status <status>
    And its only finding is a <severity> of the rule "<rule>" at "<place>"

    Examples: errors
      | fault                                       | status | severity | rule          | place           |
      | a route has the host and prefix of another  | 3      | error    | never matches | route twin      |
      | the weights of a route sum to 0             | 3      | error    | contradiction | route reads     |
      | a route names an unknown service            | 3      | error    | reference     | route reads     |
      | a time limit is below the latency target    | 3      | error    | contradiction | route reads     |
      | attempts exceed the retry budget            | 3      | error    | contradiction | route reads     |
      | a prefix does not begin with a slash        | 3      | error    | never matches | route reads     |
      | two workspaces have the same key            | 3      | error    | contradiction | workspace other |
      | a limit of clients is 0                     | 3      | error    | value         | limits          |

    Examples: warnings
      | fault                                       | status | severity | rule          | place           |
      | one of two weights is 0                     | 0      | warning  | never matches | route reads     |
      | no route names a service                    | 0      | warning  | never matches | service spare   |
      | a workspace has no key                      | 0      | warning  | never matches | workspace other |
      | a route that is not repeated has 2 attempts | 0      | warning  | ignored       | route writes    |
      | the time does not suffice for the attempts  | 0      | warning  | contradiction | route reads     |
      | a field is misspelt                         | 0      | warning  | ignored       | routes.reads.timoutMs |

  Scenario: Warnings end with status 3 where that is asked for
    Given a configuration without findings
    When it is checked when a field is misspelt
    Then the strict check ends with status 3

  Scenario: A value that is no configuration
    Given a configuration without findings
    When the file is cut off
    Then the check ends with status 3
    And its error names the file

  # Keys are secret, and a check must never write.
  Scenario: The changes to the version in force are shown
    Given a configuration without findings
    When it is compared with an older version in the store
    Then the check ends with status 0
    And the changes are of "route reads" and "workspace firm", without keys
    And the store got no write

  Scenario: A version that is not higher than the one in force
    Given a configuration without findings
    When it is compared with a newer version in the store
    Then the check ends with status 3
    And its only finding is a error of the rule "version" at "version"

  Scenario: The store does not answer
    Given a configuration without findings
    When it is compared while the store is down
    Then the check ends with status 5

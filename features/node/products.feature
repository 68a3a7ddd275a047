Feature: Products use only their own pools

  Scenario Outline: Inconsistent tables are refused and change nothing
    Given the Vodnik example runs with 2 nodes
    When an operator applies tables with <fault>
    Then the edit is refused as invalid
    And every node still has the previous revision
    And a report still arrives complete

    Examples:
      | fault                                |
      | a pool renamed in one table only     |
      | a pool that two products' owners use |
      | an endpoint in two pools             |

  Scenario: A product gets work only from its own pools while tables change
    Given the Vodnik example runs with 2 nodes
    And callers ask for 2 labels a second
    When an operator moves "fixture-label" to a pool of its own with "report-6"
    And the callers continue for 4 seconds
    Then from 3 seconds after the edit only "report-6" got labels
    And every label arrives complete

Feature: A leaving endpoint gets no new work after a few seconds

  Scenario: An engine's VM is reclaimed at short notice
    Given the Vodnik example runs with 3 nodes
    And callers ask for labels all the time
    When the VM of "report-2" leaves and its engine dies 6 seconds later
    And the callers continue for 10 seconds
    Then "report-2" got work before and none from 3 seconds after the notice
    And every label arrives complete

  Scenario: The notice reaches one node only
    Given the Vodnik example runs with 3 nodes, of which one reads the VM list
    And callers ask for labels all the time
    When the VM of "report-2" leaves and its engine dies 8 seconds later
    And the callers continue for 10 seconds
    Then "report-2" got work before and none from 3 seconds after the notice
    And every label arrives complete

  Scenario: Only the engine itself reports that it is leaving
    Given the Vodnik example runs with 3 nodes
    And callers ask for labels all the time
    When the engine "report-2" reports that it dies in 8 seconds
    And the callers continue for 10 seconds
    Then "report-2" got work before and none from 3 seconds after the notice
    And every label arrives complete

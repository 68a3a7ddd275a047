Feature: Client of plain services against the service stand-in

  Background:
    Given a service process and a client of it

  Scenario: A call is answered with its own payload
    When the client calls the service with payload "p-1"
    Then the response echoes "p-1" and the ledger has 1 run

  Scenario: A refused call did not run
    When two calls are sent at once to the cold service
    Then one of them is reported as not run and the ledger has 1 run

  Scenario Outline: A call with the fault <fault> may have run
    When the service has the fault "<fault>"
    And the client calls the service with payload "p-2"
    Then the call is reported as one that may have run
    And the ledger has 1 run

    Examples:
      | fault           |
      | kill_after_run  |
      | truncate_answer |
      | late_answer     |

  Scenario: Swapped responses are returned to neither caller
    Given the service is warm
    When the service has the fault "swap_answers"
    And two calls are sent at once
    Then neither call returns the response to the other
    And the client keeps no idle connection

  Scenario: A call to a killed service is reported as not run
    When the service process is killed
    And the client calls the service with payload "p-3"
    Then the call is reported as not run

  Scenario: A killed service keeps its ledger
    When the client calls the service with payload "p-4"
    And the service process is killed and started again
    Then the ledger has 1 run

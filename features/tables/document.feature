Feature: Tables and the stored document

  Scenario Outline: The example deployments are valid
    When the tables of example "<name>" are read
    Then the configuration has <zones> zones, <endpoints> endpoints and <workspaces> workspaces
    And its stored value decodes to the same configuration

    Examples:
      | name          | zones | endpoints | workspaces |
      | vodnik        | 3     | 9         | 10         |
      | salvagewright | 4     | 10        | 10         |

  Scenario: All errors in both tables are reported at once
    Given the tables of example "vodnik"
    When "limit = 16" of the pools table becomes "limit = many"
    And "priority = 0" of the routes table becomes "urgency = 0"
    And "zone = lj-a" of the pools table becomes "zone = lj a"
    Then the tables are refused with errors
      | table  | section                 | key     | found                   |
      | routes | route fixture-label     | urgency | a key that is not known |
      | pools  | pool report-model       | limit   | 'many'                  |
      | pools  | endpoint report-1       | zone    | 'lj a'                  |

  Scenario Outline: Rows with invalid references, names or limits are refused
    Given the tables of example "vodnik"
    When "<before>" of the <table> table becomes "<after>"
    Then the tables are refused at "<place>"

    Examples:
      | table  | before                       | after                            | place                                |
      | routes | pools = report-model         | pools = report-modle             | routes [route household-report] pools |
      | routes | pools = booking-service      | pools = report-model             | routes [route booking] pools         |
      | routes | products = household-report  | products = household             | routes [workspace ljubljana-voda] products |
      | pools  | products = booking           | products = bookings              | pools [pool booking-service] products |
      | pools  | pool = report-model          | pool = report                    | pools [endpoint report-1] pool       |
      | pools  | 127.0.0.1:21002              | 127.0.0.1:21001                  | pools [endpoint report-2] address    |
      | pools  | 127.0.0.1:21002              | localhost:21002                  | pools [endpoint report-2] address    |
      | pools  | cold_limit = 1               | cold_limit = 17                  | pools [pool report-model] cold_limit |
      | pools  | cold_limit = 1               | cold_limit = 0                   | pools [pool report-model] cold_limit |
      | pools  | memory_tokens = 24000        | memory_tokens = 0                | pools [pool report-model] memory_tokens |
      | pools  | kind = service               | kind = generation                | routes [route booking] pools         |
      | pools  | endpoint report-2            | endpoint report-1                | pools [endpoint report-1]            |
      | pools  | [pool report-model]          | [route report-model]             | pools [route report-model]           |
      | pools  | vm = vm-report-2             | vm = vm-report-1                 | pools [endpoint report-2] zone       |

  Scenario: Any input is either read or refused with typed errors
    Then any INI-like text is either read or gives errors with all their fields
    And any stored bytes are either decoded or give a typed error
    And the canonical text of any valid rows is parsed to the same rows

  Scenario: A document over the store's limit is refused
    When 20000 endpoints are added to the tables of example "vodnik"
    Then the document is refused as too large

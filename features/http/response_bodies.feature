Feature: Response bodies that are read at the same time share a limit

  Scenario: The longest body is given up for the others
    Given bodies with a limit of 100000 bytes
    When pieces of 4000 bytes arrive of a body without end between those of 9 bodies of 80 bytes
    Then the body without end is given up and the others are complete
    And nothing is held when all have ended

  Scenario Outline: <count> short bodies are complete while clients take all memory
    Given bodies in a process whose clients take all memory
    When pieces of 40000 bytes arrive of a body without end between those of <count> bodies of 80 bytes
    Then the body without end is given up and the others are complete

    Examples:
      | count |
      | 0     |
      | 9     |

  # Guards against servers that send without end on many connections.
  Scenario: Clients of servers that send without end stay within the limit
    Given a server that sends bodies without end
    When 24 requests of the HTTP client are answered by it at the same time
    Then each fails and the memory grows by at most 64 MB

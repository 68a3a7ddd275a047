Feature: Endpoints whose records are removed get no more requests

  # Guards against removals that are put off since some nodes fail to read the store.
  Scenario Outline: The store turns the hubs away while a record is removed
    Given a world with 3 plain endpoints and 5 nodes
    And endpoints that renew their records
    When the store turns <share> calls of the hubs away (<how>) and a record is removed
    Then the other nodes send the endpoint nothing later than 2 seconds after that

    Examples:
      | share         | how    |
      | 1 of 2        | busy   |
      | 1 of 2        | many   |
      | 1 of 2        | reset  |
      | 1 of 2        | silent |
      | 2 of 3        | busy   |
      | 4 of 5        | reset  |
      | 5 of 5        | busy   |
      | 5 of 5        | silent |

  Scenario: The store turns one hub away while a record is removed
    Given a world with 3 plain endpoints and 5 nodes
    And endpoints that renew their records
    When the store turns 1 of 2 calls of one hub away (busy) and a record is removed
    Then the other nodes send the endpoint nothing later than 2 seconds after that

  # Guards against a start that is taken for the end of an outage.
  Scenario: A record is removed just after a node has started
    Given a world with 3 plain endpoints and 3 nodes
    And endpoints that renew their records
    When another node starts and a record is removed as soon as it is ready
    Then the other nodes send the endpoint nothing later than 2 seconds after that

  # Guards against hubs that end and are taken for an outage of the store.
  Scenario Outline: All hubs are killed <seconds> seconds before a record is removed
    Given a world with 3 plain endpoints and 5 nodes
    And endpoints that renew their records
    When all hubs are killed and <seconds> seconds later a record is removed
    Then the other nodes send the endpoint nothing later than 2 seconds after that

    Examples:
      | seconds |
      | 0       |
      | 1       |
      | 2       |

  Scenario Outline: Records that lapse in an outage of <seconds> seconds are renewed after it
    Given a world with 3 plain endpoints and 5 nodes
    And endpoints that renew their records
    When all records lapse in an outage of <seconds> seconds (<how>) and are renewed 1.8 seconds after it
    Then every call was served

    Examples:
      | seconds | how    |
      | 4       | busy   |
      | 4       | silent |
      | 6       | reset  |

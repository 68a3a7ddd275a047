Feature: One queue orders the waiting requests of all nodes

  Scenario Outline: Requests are served in the order of <rule>
    Given waiting requests <requests>
    Then they are served in the order <order>

    Examples: each request is name:workspace:priority:seconds left[:flag]
      | rule               | requests                                 | order   |
      | urgency            | a:x:2:1 b:x:0:2                          | b a     |
      | time left          | a:x:2:3 b:x:2:1 c:x:2:2                  | b c a   |
      | workspaces in turn | a:x:2:1 b:x:2:2 c:x:2:3 d:y:2:9          | a d b c |
      | returns            | a:x:2:1 b:y:2:2:returned                 | b a     |
      | returns by rank    | a:x:0:1 b:y:2:2:returned                 | a b     |
      | late ones last     | a:x:2:-1 b:y:2:2                         | b a     |

  Scenario Outline: A burst of <factor> times <rate> <kind> generations a second
    Given the load of <rate> "<kind>" generations a second with a burst of <factor> times
    When it is replayed with the seeds 1 and 2
    Then at least 0.95 of the short requests are placed on time
    And at least <on time> of the long ones are placed on time
    And at most 0.08 of the long ones are refused after an eighth of their target
    And the largest tenth and the next fifth are placed at least half as often
    And engines are filled to at least 0.85 during the burst

    Examples:
      | kind  | rate | factor | on time |
      | long  | 9    | 2.1    | 0.75    |
      | long  | 11   | 2.5    | 0.6     |
      | tight | 9    | 2.1    | 0.7     |
      | tight | 11   | 2.5    | 0.55    |

  Scenario Outline: Workspace "<name>" sends 7.5 times its load
    Given the load of 8.5 "long" generations a second of which "<name>" sends more later
    When it is replayed with the seeds 1 and 2
    Then the requests of other workspaces are on time at least <others> of the time
    And workspace "<name>" gets at least what it got before

    Examples: a large and a small workspace
      | name | others |
      | w-0  | 0.75   |
      | w-5  | 0.9    |

  Scenario: Masses of urgent requests do not stop the others
    Given the load of 5 "long" generations a second beside 150 urgent ones of 3 s
    When it is replayed with the seeds 1 and 2
    Then at least 0.05 of the long ones are placed

  Scenario: Room is kept for urgent requests by their arrivals and lengths
    Given urgent requests of 2500 tokens that arrive 16 times a second and run for 0.5 seconds
    Then 14 places of 2500 tokens are kept free from less urgent requests
    And none is kept free from equally urgent ones

  Scenario Outline: A refused request that comes back after <seconds> s of 2 s
    Given a refused request that may come back after 2 seconds
    When a request of workspace "<workspace>" comes after <seconds> seconds
    Then it <result>

    Examples:
      | seconds | workspace | result             |
      | 2.2     | x         | has its turn       |
      | 0.5     | x         | counts as a new one |
      | 3.5     | x         | counts as a new one |
      | 2.2     | y         | counts as a new one |

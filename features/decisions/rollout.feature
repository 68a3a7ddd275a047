Feature: A version that is rolled out is compared with the old one

  Scenario Outline: A bad version is found: <kind>
    Given an old version with <old>% failures and times of 40 to 120 ms
    When the new one has <failures>% failures and <slow>% of its responses <times> times slower <since> responses
    Then it is found within <most> responses of the new version in 99 of 100 runs

    Examples: guards against a test that is blind to a kind of fault
      | kind                   | old | failures | slow | times | since      | most |
      | many failures          | 0   | 40       | 0    | 1     | after 0    | 80   |
      | some failures          | 0   | 15       | 0    | 1     | after 0    | 200  |
      | failures later         | 0   | 25       | 0    | 1     | after 600  | 120  |
      | failures of both       | 5   | 40       | 0    | 1     | after 0    | 150  |
      | all slow               | 0   | 0        | 100  | 3     | after 0    | 60   |
      | a part slow            | 0   | 0        | 30   | 4     | after 0    | 250  |
      | slow later             | 0   | 0        | 100  | 3     | after 600  | 60   |

  Scenario Outline: A good version is not taken for a bad one: <kind>
    Given an old version with <old>% failures and times of 40 to 120 ms
    When the new one has <failures>% failures and <slow>% of its responses <times> times slower after 0 responses
    Then it is found bad in none of 40 runs of 1000 responses

    Examples: guards against false alarms
      | kind                  | old | failures | slow | times |
      | no failures           | 0   | 0        | 0    | 1     |
      | as many failures      | 5   | 5        | 0    | 1     |
      | few failures          | 1   | 1        | 0    | 1     |
      | a little slower       | 0   | 0        | 100  | 1.2   |

  Scenario: One route alone shows the fault
    Given an old version with 0% failures and times of 40 to 120 ms
    When the new one fails 40% of the requests of one of four routes
    Then it is found on that route

  Scenario Outline: A roll-out at <age> of 60 s with <good> good responses goes from <stage> to <next>
    Given a roll-out in stage <stage> at <age> of 60 seconds
    When it has <good> good responses and a suspicion of <suspicion>
    Then its next stage is <next>

    Examples: guards against stages by time alone, and against a missed decision
      | stage       | age  | good | suspicion | next        |
      | first       | 30   | 9    | 0         | first       |
      | first       | 5    | 10   | 0         | second      |
      | first       | 5    | 10   | 0.6       | first       |
      | second      | 5    | 40   | 0         | third       |
      | second      | 5    | 40   | 1.1       | rolled_back |
      | third       | 40   | 90   | 0         | third       |
      | third       | 53   | 90   | 0         | shifting    |
      | third       | 53   | 90   | 0.6       | third       |
      | third       | 57   | 90   | 0.6       | rolled_back |
      | first       | 57   | 3    | 0         | rolled_back |
      | shifting    | 54   | 90   | 0         | shifting    |
      | shifting    | 54   | 90   | 1.1       | rolled_back |
      | shifting    | 56.5 | 90   | 0         | completed   |
      | completed   | 58   | 90   | 1.1       | completed   |
      | rolled_back | 58   | 90   | 0         | rolled_back |

  Scenario Outline: <nodes> nodes together stay within the exposure bound
    Given <nodes> nodes that may send a share of 0.1 and 50 more
    When <requests> requests arrive at random nodes and all want the new version
    Then at most a tenth of them and 50 go to it, and at least <least>

    Examples: guards against parts whose sum is more than the whole
      | nodes | requests | least |
      | 1     | 1000     | 149   |
      | 7     | 1000     | 140   |
      | 330   | 20000    | 1700  |

Feature: Rounds at the users' bench are compared by a script

  Scenario Outline: A day's change is judged against the noise of the bench
    Given a journal with trouble-1 of worth <before> at commit aaa and <now> at commit bbb
    When the rounds are compared
    Then trouble-1 is judged "<verdict>"
    And the comparison ends with status <status>

    Examples:
      | before | now   | verdict          | status |
      | 0.500  | 0.520 | within the noise | 0      |
      | 0.500  | 0.540 | better           | 0      |
      | 0.500  | 0.460 | worse            | 1      |

  Scenario: A broken rule fails the comparison, however good the day
    Given a journal with trouble-1 of worth 0.500 at commit aaa and 0.900 at commit bbb
    And its last entry has the rule ORDER broken on trouble-1
    When the rounds are compared
    Then trouble-1 is judged "rules broken: ORDER"
    And the comparison ends with status 1

  Scenario: Rounds of the same commit, unfinished ones and changed trees are no measure
    Given a journal with trouble-1 of worth 0.500 at commit aaa and 0.520 at commit bbb
    And further entries that are unfinished, of a changed tree, no score, or of the same commit
    When the rounds are compared
    Then trouble-1 is judged "within the noise"
    And the comparison ends with status 0

  Scenario: A file that is no entry is named
    Given a journal with a torn entry
    When the rounds are compared
    Then the comparison ends with status 1
    And it names the torn entry

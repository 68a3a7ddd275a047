Feature: Rounds on the users' bench are compared by a script

  Scenario Outline: The verdict on a day's change allows for the noise of the bench
    Given a journal with trouble-1 of worth <before> at commit aaa and <now> at commit bbb
    When the rounds are compared
    Then the verdict on trouble-1 is "<verdict>"
    And the comparison ends with status <status>

    Examples:
      | before | now   | verdict          | status |
      | 0.500  | 0.520 | within the noise | 0      |
      | 0.500  | 0.540 | better           | 0      |
      | 0.500  | 0.460 | worse            | 1      |

  Scenario: A broken rule fails the comparison even when the day is better
    Given a journal with trouble-1 of worth 0.500 at commit aaa and 0.900 at commit bbb
    And its last entry has the rule ORDER broken on trouble-1
    When the rounds are compared
    Then the verdict on trouble-1 is "rules broken: ORDER"
    And the comparison ends with status 1

  Scenario: Rounds of the same commit, unfinished rounds and rounds of changed trees are not used
    Given a journal with trouble-1 of worth 0.500 at commit aaa and 0.520 at commit bbb
    And more entries: an unfinished one, one of a changed tree, one without a score and one of the same commit
    When the rounds are compared
    Then the verdict on trouble-1 is "within the noise"
    And the comparison ends with status 0

  Scenario: The error names a file that is not a valid entry
    Given a journal with an invalid entry
    When the rounds are compared
    Then the comparison ends with status 1
    And the error names the invalid entry

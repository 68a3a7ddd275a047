Feature: Parts of the load generator and the benchmarks

  Scenario: A seed gives the same load every time
    When the load of "vodnik" is drawn twice with seed 7 at 5 requests a second for 60 seconds
    Then both loads are equal, in order and within 60 seconds
    And the load's outputs are heavy-tailed and determined by their prompts

  Scenario: Generated tables of any size are valid
    When tables with 1600 engines, 40 services and 940 workspaces are generated
    Then the generated tables build a configuration without faults

  Scenario: Slopes are fitted to the measured points
    When points at sizes 3, 6 and 12 have a cost of 10 plus 2 per unit of size
    Then the fitted slope is 2 with intercept 10 and gives 670 at 330

  Scenario Outline: A bound decides whether a figure meets its target
    When a figure of <measured> has a target of <bound> 2
    Then the figure is <verdict>

    Examples:
      | measured | bound    | verdict |
      | 1.9      | at most  | met     |
      | 2.1      | at most  | missed  |
      | 1.9      | at least | missed  |

  Scenario Outline: A target of at most 0 is met only by 0
    When a figure of <measured> has a target of at most 0
    Then the figure is <verdict>
    And the table of figures shows the ratio <ratio>

    Examples:
      | measured | verdict | ratio |
      | 0        | met     | 0.00  |
      | 1        | missed  | inf   |

  Scenario: Meters of several processes are summed
    When two meters with 100 tokens each are summed
    Then the summed meter has 200 tokens and their quantiles

  Scenario Outline: A transcript reports the fault of a received text
    When a caller received <received> of a generation
    Then the transcript's fault is "<fault>"

    Examples:
      | received                | fault               |
      | all tokens              |                     |
      | a repeated token        | offset 2            |
      | a gap                   | offset 1            |
      | tokens of two           | several generations |
      | another prompt's tokens | offset 0            |

  Scenario: The load generator receives only complete answers
    Given a deployment for the load generator
    When the load generator sends 3 requests a second for 3 seconds
    Then the load generator reports no faults and only complete answers

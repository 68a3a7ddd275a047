Feature: The report on streams says why they did not complete

  Scenario Outline: Why a stream ended is derived from the events of nodes
    Given the log of node n-0 has a stream opened at 10 with <backup>
    And then <events>
    When the report on streams is made
    Then its stream is counted as <cause>

    Examples:
      | backup    | events                                       | cause          |
      | no backup | ended whole at 12                            | WHOLE          |
      | no backup | ended client gone at 12                      | CLIENT_GONE    |
      | no backup | ended client gone at 12, stopped at 12.5     | NODE_STOPPED   |
      | no backup | ended client gone at 12, stopped at 14       | CLIENT_GONE    |
      | no backup | nothing                                      | OPEN           |
      | a backup  | started at 13                                | NODE_LOST      |
      | a backup  | started at 13, n-1 started at 15             | ALL_NODES_LOST |
      | a backup  | started at 13, n-1 started at 30             | NODE_LOST      |
      | no backup | ended broken at 12                           | NO_COPY        |
      | no backup | copy refused at 11, ended broken at 12       | COPY_REFUSED   |
      | no backup | ended broken at 12, copy refused at 12       | COPY_LATE      |
      | no backup | copied at 11, ended broken at 12             | COPY_UNUSED    |
      | a backup  | ended broken at 12                           | COPY_UNUSED    |
      | a backup  | not resumed at 12, ended broken at 12        | COPY_LOST      |
      | a backup  | reopened at 11, continued at 11, ended broken at 12 | NO_COPY |
      | a backup  | not resumed at 11, reopened at 11, continued at 11, ended whole at 12 | WHOLE |

  Scenario: The log of a node whose endpoint died during a stream is read
    Given a world with 1 engines and 1 node
    And the log lines of nodes are kept
    When an engine dies without notice while it streams 60 events
    Then the report on these lines counts 1 stream as NO_COPY

  Scenario: Lines of several nodes in one file are distinguished
    When the report on streams is asked for a collected log
    Then it shows 2 streams, one complete and one lost with its node

  Scenario: A file that is not a log is refused with the number of the invalid line
    When the report on streams is asked for a file with a truncated line
    Then it ends with status 3 and names the line

  Scenario: Any lines give events or a typed error
    When 300 random logs are read
    Then each gave events or an error that names the line

Feature: The report on streams says why they did not end whole

  Scenario Outline: A stream's cause is read from the events of nodes
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
      | no backup | refused at 11, ended broken at 12            | COPY_REFUSED   |
      | no backup | ended broken at 12, refused at 12            | COPY_LATE      |
      | no backup | copied at 11, ended broken at 12             | COPY_UNUSED    |
      | a backup  | ended broken at 12                           | COPY_UNUSED    |
      | a backup  | unanswered at 12, ended broken at 12         | COPY_LOST      |
      | a backup  | reopened at 11, continued at 11, ended broken at 12 | NO_COPY |
      | a backup  | unanswered at 11, reopened at 11, continued at 11, ended whole at 12 | WHOLE |

  Scenario: What a node writes of a stream that its endpoint tears is read
    Given a world with 1 engines and 1 node
    And what nodes write is kept
    When an engine dies without notice while it streams 60 events
    Then the report on the logs of that counts 1 stream as NO_COPY

  Scenario: Logs of several nodes in one file are told apart
    When the report on streams is asked for a collected log
    Then it shows 2 streams, one ended whole and one lost with its node

  Scenario: A file that is no log is refused with its line
    When the report on streams is asked for a file with a torn line
    Then it ends with status 3 and names the line

  Scenario: Any lines give events or a typed error
    When 300 drawn logs are read
    Then each gave events or the line at fault

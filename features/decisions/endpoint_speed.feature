Feature: Engines are chosen by their learned speeds

  Streams of a service are late when they pause for more than 0.18 s; an engine
  reads prompts between the events of its streams.

  # One constant speed for all engines sent prompts to slow engines, whose
  # streams then paused for 0.21 to 0.24 s.
  Scenario Outline: <why>
    Given two engines with the speeds "<speeds>", "<running>" streams and "<unread>" unread tokens
    When a generation with a prompt of <prompt> and an output of <output> tokens is placed
    Then engine <chosen> is chosen by speed

    Examples:
      | why                                                 | speeds  | running | unread | prompt | output | chosen |
      | A slow engine with streams gets no prompt           | 0.6 1.0 | 1 6     | 0 0    | 2000   | 300    | 2      |
      | A slow engine without streams is used               | 0.6 1.0 | 0 6     | 0 4000 | 2000   | 40     | 1      |
      | A long stream goes to the faster engine             | 0.6 1.0 | 0 3     | 0 0    | 500    | 1800   | 2      |
      | Two prompts at once delay the streams of an engine  | 1.0 1.0 | 3 6     | 2000 0 | 1000   | 300    | 2      |
      | The fastest engine takes two prompts at once        | 1.6 0.6 | 3 1     | 2000 0 | 1000   | 300    | 1      |
      | The first event decides where no stream is delayed  | 1.6 1.0 | 3 3     | 0 0    | 1000   | 300    | 1      |
      | No engine keeps the target: fewest streams are late | 0.6 0.6 | 5 2     | 0 0    | 1000   | 300    | 2      |
      | An engine that is always too slow counts in full    | 0.2 0.6 | 2 9     | 0 0    | 1000   | 300    | 2      |
      | An engine without a free slot is not chosen         | 1.6 0.6 | 16 9    | 0 0    | 1000   | 300    | 2      |

  Scenario Outline: The speed of an engine of speed <speed> is learned
    When an engine of speed <speed> is observed for 6 s while prompts delay events <share>% of the time
    Then its learned speed is between <low> and <high>
    And its learned speed 60 s later is within 5% of the usual one

    Examples:
      | speed | share | low  | high |
      | 0.6   | 0     | 0.55 | 0.65 |
      | 0.6   | 30    | 0.55 | 0.65 |
      | 1.0   | 30    | 0.92 | 1.05 |
      | 1.6   | 30    | 1.45 | 1.65 |

  # Speeds must not refuse what is placed without them.
  Scenario Outline: Fewer streams of 23 engines pause too long, <chunks> chunks a step, memory <memory>
    When <rate> generations a second are played with and without learned speeds, <chunks> chunks a step, memory <memory>
    Then at most <share>% as many streams are late as without learned speeds
    And the first events come no later, and no more is refused

    Examples:
      | chunks | memory | rate | share |
      | 99     | 24000  | 22   | 20    |
      | 1      | 24000  | 22   | 20    |
      | 99     | 16000  | 28   | 75    |

  # A node has few calls, and notices by those at one endpoint that it is busy.
  Scenario Outline: Of three plain endpoints <why> gets the next call
    Given a node prefers endpoint 2 of three with "<running>" open calls of its own
    When it makes a call after a rejection by endpoint <rejected>
    Then endpoint <chosen> gets the call

    Examples:
      | why                              | running | rejected | chosen |
      | the preferred one                | 0 0 0   | 3        | 2      |
      | one without a call of the node   | 0 1 1   | 3        | 1      |
      | one that has not just rejected   | 1 0 0   | 2        | 3      |
      | one that rejected, if it is idle | 1 0 1   | 2        | 2      |
      | one with a free slot             | 6 6 5   | 3        | 3      |

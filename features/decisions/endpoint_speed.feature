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

  Scenario Outline: A call is expected to take longer at an endpoint that <event>
    When one of two endpoints that answer in 0.05 s <event>
    Then a call there is expected to take longer for at least <seconds> s
    And 30 s later both are expected to take the same time

    Examples:
      | event                     | seconds |
      | rejects a call            | 0.2     |
      | answers 3 calls in 0.15 s | 2.0     |

Feature: A late request is hedged only where a second endpoint is faster

  # Each line replays 4,000 requests at 20 endpoints whose times are recorded.
  # Guards against hedges that make an overload worse, and against none where a
  # single endpoint is slow. Requests that are still slow when a burst has ended
  # are hedged: others are answered in the usual time again.
  Scenario Outline: Hedges by load
    Given recorded times of 20 endpoints: <times>
    When 4000 requests are replayed at <rate> a second with a share of <share>
    Then from <least> to <most> requests were hedged
    And hedging made the <quantile> quantile at least <gain> times as fast

    Examples:
      | times                                | rate | share | least | most | quantile | gain |
      | steady                               | 100  | 0.1   | 0     | 0    | 0.99     | 1.0  |
      | one endpoint five times as slow      | 100  | 0.1   | 50    | 400  | 0.95     | 1.4  |
      | one endpoint five times as slow      | 100  | 0.01  | 10    | 40   | 0.5      | 1.0  |
      | all five times as slow from 20 s on  | 100  | 0.1   | 0     | 1    | 0.99     | 1.0  |
      | all five times as slow from 20 s on  | 5    | 0.1   | 0     | 3    | 0.99     | 1.0  |
      | bursts that make all slow for 1 s    | 100  | 0.1   | 0     | 40   | 0.99     | 1.0  |
      | one response in 50 ten times as slow | 100  | 0.1   | 50    | 120  | 0.99     | 2.0  |
      | one response in 50 ten times as slow | 100  | 0     | 0     | 0    | 0.99     | 1.0  |

  # Each condition alone prevents a hedge.
  Scenario Outline: A late request is not hedged
    Given a late request that would be hedged
    When the decision is made while <condition>
    Then it is not hedged for "<reason>"

    Examples:
      | condition                                  | reason              |
      | no attempt is left                         | attempts            |
      | endpoints crashed that ran it              | struck              |
      | requests wait for room                     | waiting             |
      | the retry budget is used up                | retry budget        |
      | it has no time left                        | deadline            |
      | an endpoint rejected a request             | rejections          |
      | the share is used up                       | share               |
      | its service became slower meanwhile        | not late any more   |
      | three late requests there were cancelled   | unobserved endpoint |

  Scenario: Nothing is hedged before the service's times are known
    Given no responses
    Then no response is late

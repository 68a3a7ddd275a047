Feature: The head of an answer decides what it is taken for

  # Guards against bytes that are taken for the endpoint's answer, or for its
  # statement that the request has not run.
  Scenario Outline: <status> with <fields> is <verdict>
    When an answer has the status <status> and <fields>
    Then it is taken as <verdict>

    Examples: answers that are passed on
      | status | fields   | verdict  |
      | 200    | id, seal | answered |
      | 200    | seal     | answered |
      | 204    | id, seal | answered |
      | 302    | id, seal | answered |
      | 404    | id, seal | answered |
      | 500    | id, seal | answered |
      | 504    | id, seal | answered |

    # Clients ask for bodies without any encoding.
    Examples: bodies with an encoding
      | status | fields             | verdict  |
      | 200    | id, seal, gzip     | encoded  |
      | 200    | id, seal, identity | answered |
      | 500    | id, seal, gzip     | answered |
      | 200    | id, gzip           | unsigned |

    Examples: answers without the signature
      | status | fields            | verdict  |
      | 200    | nothing           | unsigned |
      | 200    | id                | unsigned |
      | 200    | id, empty seal    | unsigned |
      | 200    | id, not executed  | unsigned |
      | 204    | id                | unsigned |
      | 302    | id                | unsigned |
      | 404    | id                | unsigned |
      | 408    | id                | unsigned |
      | 421    | nothing           | unsigned |
      | 429    | id                | unsigned |
      | 500    | id                | unsigned |
      | 503    | nothing           | unsigned |
      | 503    | id                | unsigned |
      | 503    | id, empty seal    | unsigned |
      | 503    | retry-after       | unsigned |
      | 504    | id                | unsigned |

    Examples: signed answers that leave open whether the request has run
      | status | fields                 | verdict |
      | 200    | id, seal, not executed | unclear |
      | 408    | id, seal               | unclear |
      | 421    | id, seal, instance     | unclear |
      | 429    | id, seal               | unclear |
      | 503    | id, seal               | unclear |
      | 503    | id, seal, retry-after  | unclear |

    Examples: statements that the request has not run
      | status | fields                 | verdict     |
      | 400    | not executed           | not-run     |
      | 408    | id, not executed       | not-run     |
      | 429    | id, not executed       | not-run     |
      | 503    | id, not executed       | not-run     |
      | 503    | id, seal, not executed | not-run     |
      | 503    | not executed           | not-run     |
      | 421    | id                     | misdirected |
      | 421    | instance               | misdirected |
      | 421    | id, not executed       | misdirected |
      | 421    | not executed           | misdirected |

    Examples: answers to another request
      | status | fields                 | verdict |
      | 200    | other id, seal         | foreign |
      | 500    | other id, seal         | foreign |
      | 503    | other id, not executed | foreign |
      | 421    | other id, instance     | foreign |
      | 503    | id, other id, seal     | foreign |
      | 503    | other id, id, seal     | foreign |

  # Guards against a stream whose success is passed on without the signature.
  Scenario Outline: A success without the signature is not passed on: <kind>, <way>, <status>
    Given a world whose <endpoint>, reached <way>, sends status <status>, id and closes
    When a client sends a <kind> request
    Then the client is told that the request may have run
    And the client got nothing of the endpoint's bytes

    Examples:
      | kind                 | endpoint       | way            | status |
      | generation           | engine         | directly       | 200    |
      | generation           | engine         | through a peer | 200    |
      | generation           | engine         | directly       | 204    |
      | generation           | engine         | directly       | 302    |
      | generation           | engine         | directly       | 404    |
      | resumable generation | engine         | directly       | 200    |
      | once-only            | plain endpoint | directly       | 200    |
      | once-only            | plain endpoint | through a peer | 204    |
      | repeatable           | plain endpoint | directly       | 200    |

  # Guards against a status that a client takes for the promise that its request
  # has not run, though only "not executed" states it.
  Scenario Outline: A status alone is no promise: <kind>, <way>, <answer>
    Given a world whose <endpoint>, reached <way>, sends <answer> and closes
    And a second endpoint that is found after the request was sent
    When a client sends a <kind> request
    Then the client is told that the request may have run
    And the client got nothing of the endpoint's bytes
    And the second endpoint got no request

    Examples:
      | kind       | endpoint       | way            | answer               |
      | once-only  | plain endpoint | directly       | status 503           |
      | once-only  | plain endpoint | through a peer | status 503           |
      | once-only  | plain endpoint | directly       | status 503, id       |
      | once-only  | plain endpoint | directly       | status 503, id, seal |
      | once-only  | plain endpoint | directly       | status 408, id, seal |
      | once-only  | plain endpoint | directly       | status 429, id, seal |
      | once-only  | plain endpoint | directly       | status 421           |
      | once-only  | plain endpoint | directly       | status 421, id, seal |
      | once-only  | plain endpoint | directly       | status 500, id       |
      | generation | engine         | directly       | status 503           |
      | generation | engine         | through a peer | status 503, id       |
      | generation | engine         | directly       | status 503, id, seal |
      | generation | engine         | directly       | status 408           |
      | generation | engine         | directly       | status 429, id, seal |
      | generation | engine         | directly       | status 421           |

  # Guards against a body that is passed on as if it were not encoded.
  Scenario Outline: A success whose body is encoded is not passed on: <kind>
    Given a world whose <endpoint>, reached directly, sends status 200, id, seal, gzip and closes
    When a client sends a <kind> request
    Then the client is told that the request may have run
    And the client got nothing of the endpoint's bytes

    Examples:
      | kind       | endpoint       |
      | once-only  | plain endpoint |
      | generation | engine         |

  Scenario Outline: An answer that is none is repeated elsewhere: <kind>, <answer>
    Given a world whose <endpoint>, reached directly, sends <answer> and closes
    And a second endpoint that is found after the request was sent
    When a client sends a <kind> request
    Then the client got the second endpoint's complete answer

    Examples:
      | kind                 | endpoint       | answer               |
      | repeatable           | plain endpoint | status 200, id       |
      | repeatable           | plain endpoint | status 503           |
      | repeatable           | plain endpoint | status 503, id, seal |
      | resumable generation | engine         | status 200, id       |
      | resumable generation | engine         | status 503           |
      | resumable generation | engine         | status 503, id, seal |

  Scenario Outline: A request that was refused goes to another endpoint: <kind>, <answer>
    Given a world whose <endpoint>, reached directly, sends <answer> and closes
    And a second endpoint that is found after the request was sent
    When a client sends a <kind> request
    Then the client got the second endpoint's complete answer

    Examples:
      | kind       | endpoint       | answer                       |
      | once-only  | plain endpoint | status 503, id, not executed |
      | once-only  | plain endpoint | status 429, not executed     |
      | once-only  | plain endpoint | status 421, instance         |
      | generation | engine         | status 503, id, not executed |
      | generation | engine         | status 421, id               |

  Scenario Outline: A request that its only endpoint refused is refused: <kind>
    Given a world whose <endpoint>, reached directly, sends status 503, id, not executed and closes
    When a client sends a <kind> request
    Then the client is refused with a time to return

    Examples:
      | kind       | endpoint       |
      | once-only  | plain endpoint |
      | generation | engine         |

  # Guards against a back-off, limit or notice that the endpoint never sent.
  Scenario Outline: What an unsigned answer says of its endpoint is ignored: <said>
    Given a world whose plain endpoint, reached directly, sends status 503, <said> and closes
    When a client sends a once-only request
    Then the endpoint is <said_not>

    Examples:
      | said        | said_not             |
      | retry-after | asked without a rest |
      | limit       | used without a limit |
      | leaving     | not taken as leaving |

  Scenario: What a signed answer says of its endpoint counts
    Given a world whose plain endpoint, reached directly, sends status 503, id, seal, retry-after and closes
    When a client sends a once-only request
    Then the endpoint rests

  Scenario Outline: A signed answer is passed on unchanged: <kind>, <status>
    Given a world whose <endpoint>, reached <way>, sends status <status>, id, seal and closes
    When a client sends a <kind> request
    Then the client got the endpoint's complete answer, with status <status>

    Examples:
      | kind       | endpoint       | way            | status |
      | generation | engine         | directly       | 500    |
      | generation | engine         | directly       | 404    |
      | generation | engine         | through a peer | 504    |
      | once-only  | plain endpoint | directly       | 200    |
      | once-only  | plain endpoint | directly       | 302    |
      | once-only  | plain endpoint | through a peer | 500    |
      | once-only  | plain endpoint | directly       | 504    |
      | repeatable | plain endpoint | directly       | 500    |

  Scenario: A run is not joined to an unsigned stream at its backup
    Given a world with 3 engines that keep backups and 1 node
    When an engine loses a run of 60 events and the next answer lacks the signature
    Then the client got the first events, each once and in order
    And the stream was not complete

  Scenario: A resumable run passes over an unsigned stream
    Given engines with resumable streams
    And a route that permits 3 runs
    When an engine loses a run of 60 events and the next answer lacks the signature
    Then the client got 60 events, each once and in order
    And the stream was complete

  # One answer in 20 is unsigned; the endpoint still gets its share.
  Scenario: An endpoint that seldom omits its signature is not ejected
    Given a world with 2 plain endpoints and 1 node
    And an endpoint that does not sign each 20th answer
    When a client makes 120 idempotent calls
    Then each call was answered 200
    And both endpoints were used until the end

  Scenario: An endpoint that always omits its signature is ejected
    Given a world with 2 plain endpoints and 1 node
    And an endpoint that does not sign each 1st answer
    When a client makes 40 idempotent calls
    Then each call was answered 200
    And one endpoint got at most 15 of the calls

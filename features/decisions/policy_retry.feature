Feature: Retries, shedding and quarantine

  Scenario Outline: An attempt is retried only where safe
    Given an <kind> attempt number <number> of which <ran> ran
    Then the retry decision is <decision>

    Examples:
      | kind           | number | ran     | decision     |
      | non-idempotent | 1      | NOTHING | RETRY        |
      | non-idempotent | 1      | UNKNOWN | MAY_HAVE_RUN |
      | idempotent     | 1      | UNKNOWN | RETRY        |
      | idempotent     | 1      | PARTLY  | DELIVERED    |
      | idempotent     | 4      | NOTHING | ATTEMPTS     |

  Scenario: Retries never exceed the budget earned by successes
    Then any history keeps retries within the initial ones and the earned share

  Scenario: A request that can't meet its deadline is refused at once
    Given 10000 expected tokens ahead and a rate of 500 tokens a second
    Then a request with 10 seconds left is refused and may be retried after 11 seconds
    And a request with 30 seconds left is kept

  Scenario: The request that crashes endpoints is refused and others are cleared
    Given 8 requests ran on endpoint "e1" when it died
    Then request 1 may not run beside request 2 of the same death
    When requests 2 to 8 complete elsewhere
    And request 1 and 3 others new to it run on endpoint "e2" when it dies
    Then request 1 is refused for good
    And requests 2 to 8 are clear

  Scenario: Suspects of different deaths do not run beside each other
    Given requests 1 and 2 ran on endpoint "e1" when it died
    And requests 3 and 4 ran on endpoint "e2" when it died 30 seconds later
    Then request 2 may not run beside request 3
    And request 2 may run beside request 9
    When requests 3 to 3 complete elsewhere
    Then request 2 may run beside request 3

  Scenario: Two requests that always ran together at deaths are not both refused
    Given 2 requests ran on endpoint "e1" when it died
    And 2 requests ran on endpoint "e2" when it died
    Then request 1 is suspected
    When requests 2 to 2 complete elsewhere
    Then request 1 is refused for good

  Scenario: A new key does not hide the same body
    Given 1 requests ran on endpoint "e1" when it died
    And 1 requests ran on endpoint "e2" when it died
    Then the body of request 1 under a new key is refused for good

  Scenario: Strikes merge in any order
    Then any order and repetition of peers' deaths and clearances agree

  Scenario: The loss of a zone is no evidence against its requests
    Given 3 endpoints died at the same moment while each ran a request
    And request 1 was retried on one that died with them
    Then request 1 is judged CLEAR
    When request 1 is on an endpoint that dies 30 seconds later
    Then request 1 is judged SUSPECT
    When request 1 is on an endpoint that dies 60 seconds later
    Then request 1 is judged REFUSED

  Scenario Outline: Two requests crash endpoints at the same moment
    Given endpoints die 0.1 seconds apart, by zone and request
      | zone | request |
      | a    | 1       |
      | b    | 2       |
      | c    | 1       |
      | c    | 2       |
    Then request <request> is judged REFUSED

    Examples:
      | request |
      | 1       |
      | 2       |

  Scenario: Two requests crash one endpoint after the other in one zone
    Given endpoints die 0.1 seconds apart, by zone and request
      | zone | request |
      | a    | 1       |
      | a    | 2       |
      | a    | 1       |
    Then request 1 is judged CLEAR
    When request 1 is on endpoints of zone "a" that die 0.3 and 0.4 seconds later
    Then request 1 is judged REFUSED

  Scenario: A zone is lost while an engine dies elsewhere
    Given endpoints die 0.1 seconds apart, by zone and request
      | zone | request |
      | a    | 1       |
      | a    | 2       |
      | b    | 3       |
    Then request 1 is judged CLEAR
    And request 2 is judged CLEAR
    And request 3 is judged SUSPECT

  Scenario: Deaths far apart have no common cause
    Given 2 endpoints died far apart while each ran a request
    Then request 1 is judged SUSPECT

  Scenario: A refused request stays refused when another endpoint dies soon after
    Given request 1 ran on 2 endpoints that died, the second 30 seconds later
    When request 1 is refused
    And an endpoint that ran request 2 dies 1 second after the second one
    Then request 1 is judged REFUSED

  Scenario: A peer that knows of more deaths accepts a refusal
    Given request 1 ran on 2 endpoints that died, the second 30 seconds later
    And a peer that knows of another death 1 second after the second one
    When request 1 is refused
    Then the peer judges request 1 SUSPECT before it learns of the refusal and REFUSED afterwards

  Scenario: A refused request that completes elsewhere is clear again
    Given request 1 ran on 2 endpoints that died, the second 30 seconds later
    When request 1 is refused
    And requests 1 to 1 complete elsewhere
    Then request 1 is judged CLEAR

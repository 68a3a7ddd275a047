Feature: Claims on request keys

  Scenario Outline: No history runs a key twice
    When claims run 600 histories with seed <seed>
    Then no key ran twice and every refusal was correct

    Examples:
      | seed |
      | 1    |
      | 2    |

  Scenario Outline: Each protection of claims is needed
    Then within 1500 histories a key runs twice unless "<protection>"

    Examples:
      | protection                                   |
      | values are compared before they are replaced |
      | the age of a claim is checked                |
      | claims are kept for the retention            |

  Scenario: The second attempt learns the outcome of the first
    Given an empty partition of claims
    When attempt a claims with body one
    Then the claim is answered Acquired()
    When attempt a claims with body one
    Then the claim is answered Acquired()
    When attempt b claims with body one
    Then the claim is answered Held(outcome='')
    When attempt a records "done"
    And attempt b claims with body one
    Then the claim is answered Held(outcome='done')
    When attempt b claims with body two
    Then the claim is answered Mismatched()

  Scenario: An abandoned claim is free for other attempts, not for its own late claim
    Given an empty partition of claims
    When attempt a abandons its claim
    And attempt a claims with body one
    Then the claim is answered Held(outcome='')
    When attempt b claims with body one
    Then the claim is answered Acquired()
    When attempt a abandons its claim
    Then the claim is answered Held(outcome='')

  Scenario: An outcome that is too long leaves the claim unchanged
    Given an empty partition of claims
    When attempt a claims with body one
    And attempt a records an outcome that is too long
    Then the claim is answered Full()
    When attempt b claims with body one
    Then the claim is answered Held(outcome='')

  Scenario: A claim is kept until the second retention period ends
    Given an empty partition of claims
    When attempt a claims with body one
    And the retention period ends
    And attempt b claims with body one
    Then the claim is answered Held(outcome='')
    When the retention period ends
    And attempt b claims with body one
    Then the claim is answered Acquired()

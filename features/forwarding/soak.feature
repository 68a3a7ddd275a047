Feature: Simultaneous failures break no promise of a forwarding node

  Scenario Outline: One round of failures drawn by seed <seed>
    When a soak of forwarding nodes runs one round with seed <seed>
    Then the seed's failures are the same when drawn again
    And every promise of the soak held

    # 2: a reload signal that a node got while it started killed it.
    Examples:
      | seed |
      | 1    |
      | 2    |

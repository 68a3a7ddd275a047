Feature: The policy under load meets its targets on fixed seeds

  The runs use the Vodnik deployment on a virtual clock, at 90% of the oracle's
  saturation and with load reports one second late. The figures are medians
  over seeds 1 to 5. The bounds are the stated targets.

  Scenario: Preemptions stay within 5% of those of the least-outstanding policy
    When the policy's targets are measured
    Then the target "preemptions, share of least outstanding" is met

  Scenario: Stall time stays within 10% of that of the least-outstanding policy
    When the policy's targets are measured
    Then the target "stall time, share of least outstanding" is met

  Scenario: The P99 time between tokens stays within 1.25 times lightly loaded
    When the policy's targets are measured
    Then the target "P99 time between tokens, times lightly loaded" is met

  Scenario: At least 95% of the oracle's tokens are completed
    When the policy's targets are measured
    Then the target "completed tokens, share of the oracle" is met

  Scenario: Quick work has its first token within twice the unloaded time
    When the policy's targets are measured
    Then the target "P95 time to first token of quick work, times unloaded" is met

  Scenario: Small workspaces keep 90% of their service beside a flood
    When the policy's targets are measured
    Then the target "small workspaces beside a flood, share of unloaded" is met

  Scenario: A zone that leaves and returns cuts no generation
    When the policy's targets are measured
    Then the target "zone out and back, generations cut" is met

  Scenario: While a zone leaves and returns, the P99 time between tokens stays within 1.5 times lightly loaded
    When the policy's targets are measured
    Then the target "zone out and back, P99 time between tokens, times light" is met

  Scenario: The service recovers within 5 seconds of a zone's return
    When the policy's targets are measured
    Then the target "zone out and back, seconds until 95% of the service" is met

  Scenario: Endpoints that all turn cold at once get no more work than their capacity
    When the policy's targets are measured
    Then the target "all cold at once, work beyond the capacity of engines" is met

  Scenario: A zone that returns cold gets no more work than its capacity
    When the policy's targets are measured
    Then the target "zone back cold, work beyond the capacity of engines" is met

  Scenario: A run gives the same figures every time
    Then two runs of the light workload with seed 7 agree in every figure

  Scenario: A higher tail weight lowers the P99 time between tokens and does not lower the stall time
    When the mixed workload runs at tail weights 0 and 1
    Then weight 1 has the lower P99 time between tokens
    And weight 0 has at most the same stall time

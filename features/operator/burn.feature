Feature: The report on burn rates of error budgets

  # The expected values are calculated by hand. The objectives of product p are
  # an availability of 99% and 95% of first tokens within 1.2 s. Times are
  # seconds after noon.
  #
  #   node  at    started  done  failed  refused  first token: all, within 1.2
  #   a     0     -3600    1000  0       0        1000, 1000
  #   a     3600  -3600    1900  100     50       2000, 1800
  #   b     0     -3600    500   0       0        500, 500
  #   b     3600  1800     380   20      0        400, 360
  #
  # Node b restarted at 1800.
  # Availability, last hour: a counts 1000 requests, 100 failed; b counts 400
  # since its restart, 20 failed. 120 of 1400 are 8.5714%, burn rate 8.5714.
  # Availability, last half hour: half of a's (500, 50 failed) and all of b's
  # (400, 20 failed). 70 of 900 are 7.7778%, burn rate 7.7778.
  # Availability, all time: 120 of 2900, burn rate 4.1379.
  # First tokens, last hour: 200 + 40 slow of 1400, 17.1429%, burn rate 3.4286.
  # First tokens, last half hour: 100 + 40 slow of 900, 15.5556%, burn rate
  # 3.1111.
  # First tokens, all time: 240 of 2900, burn rate 1.6552.
  # Share of the budget of 2592000 s used: 4.1379 x 7200 / 2592000 is 1.1494%,
  # and 1.1654% when the report ends at 3700 (7300 s).
  Scenario: Burn rates across a restart are those calculated by hand
    Given the burn samples of the calculated example
    When the burn report is made with rule "page:1h:30m:7.5"
    Then the burn of "p" "availability" is 4.1379 over all, 8.5714 and 7.7778 in the windows
    And the burn of "p" "first token" is 1.6552 over all, 3.4286 and 3.1111 in the windows
    And the report alerts on "p availability" only
    And node "b" has 1 restarts and node "a" has 0
    And 120 of 2900 requests of "p" are bad, 29 allowed, and 1.1494% of the budget of 30 days is used

  Scenario: An alert needs a burn rate over the factor in both windows
    Given the burn samples of the calculated example
    When the burn report is made with rule "page:1h:30m:8"
    Then the report has no alert

  Scenario: A node that stops answering is listed and its counts stay in the report
    Given the burn samples of the calculated example
    And node "b" does not answer at 3700
    When the burn report is made with rule "page:1h:30m:7.5"
    Then the text of the report names "b" as unreachable, last seen at 3600
    And 120 of 2900 requests of "p" are bad, 29 allowed, and 1.1654% of the budget of 30 days is used

  Scenario: A restart without start times is detected by a counter that decreased
    Given the burn samples of the calculated example without start times
    When the burn report is made with rule "page:1h:30m:7.5"
    Then the burn of "p" "availability" is 8.5714 over all, 8.5714 and 8.5714 in the windows

  Scenario: The page embeds its plots and refers to nothing outside it
    Given the burn samples of the calculated example
    When the burn report is made with rule "page:1h:30m:7.5"
    Then the page shows 3 plots and the alert, and refers to nothing outside it

  Scenario: The totals do not depend on how often the counters are sampled
    Then leaving out samples changes no total of the report

  Scenario: Any saved bytes and any scrape give samples or a typed error
    Then the burn report handles any saved bytes and any metrics text

  Scenario: The loss of a zone while reports are streamed gives an alert
    Given 3 nodes of the Vodnik deployment with 6 reports running
    When the node and the endpoints of zone "lj-b" are killed and the reports end
    And the operator asks for the burn report
    Then it alerts on the availability of "household-report" in window "1h"
    And it names the killed node as unreachable

Feature: VM list client and links against their stand-ins

  Scenario: The list lags behind a leaving VM
    Given a VM list process with VM "vm-1" that lags 1 second
    When the platform marks "vm-1" as leaving
    Then the list still calls "vm-1" live
    And after a second the list calls "vm-1" leaving
    And the same list twice is the same object
    And a list that is down is reported as unavailable

  Scenario: A link that is cut and opened again
    Given a store process behind a link
    Then the store answers through the link
    When the link is cut
    Then the store does not answer through the link
    When the link is open
    Then the store answers through the link
    When the link turns its open connections silent
    Then a held connection gets no answer and a new one does

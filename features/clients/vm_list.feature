Feature: VM list client and links against their stand-ins

  Scenario: The list lags behind a leaving VM
    Given a VM list process with VM "vm-1" that lags 1 second
    When the platform marks "vm-1" as leaving
    Then the list still shows "vm-1" as live
    And after a second the list shows "vm-1" as leaving
    And listing twice returns the same object
    And a list that is down is reported as unavailable

  Scenario: A link can be cut, opened again and silenced
    Given a store process behind a link
    Then the store responds through the link
    When the link is cut
    Then the store does not respond through the link
    When the link is open
    Then the store responds through the link
    When the link silences its open connections
    Then an open connection gets no response and a new one does

Feature: A node's view of the store

  Scenario: The view holds the newest of each key, whoever tells it
    Then no history of two lagging hubs, lost updates and readings takes it back

  Scenario: A hub that lags does not bring back what was removed
    Given a view that knows "servers/a" at revision 5
    When its removal at revision 9 is heard and then its change at revision 7
    Then the view does not know "servers/a"

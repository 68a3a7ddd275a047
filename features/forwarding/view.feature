Feature: A node's view of the store

  Scenario: The view holds the newest value of each key, whichever hub sends it
    Then no history of two lagging hubs, lost updates and snapshots makes it older

  Scenario: A lagging hub does not restore a removed item
    Given a view that knows "servers/a" at revision 5
    When its removal at revision 9 arrives and then its change at revision 7
    Then the view does not know "servers/a"

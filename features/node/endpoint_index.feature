Feature: Endpoints by owner without a scan of all rows

  Scenario: The index returns the same endpoints as a scan of all rows
    Given an index over 300 endpoints and 12 nodes
    When nodes come and go, slots move and rows change 60 times
    Then each time the index had exactly the owned endpoints

  Scenario: Owners are looked up only for rows of which this node holds a share
    Given an index over 300 endpoints and 12 nodes
    When the owned endpoints are asked for 50 times
    Then each time the index looked up at most one owner for each shared row

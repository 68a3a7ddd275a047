Feature: The process of a node on a platform

  Scenario: A node that is told of new settings while it starts goes on
    When a node is told of new settings while it starts without any
    Then its process ends with the status for wrong settings

Feature: The process of a node on a platform

  Scenario: A node that is told of new settings while it starts goes on
    When a node is told of new settings while it starts without any
    Then its process ends with the status for wrong settings

  Scenario: A node that is told of new settings before its program has begun goes on
    When a node's process is told of new settings as soon as it exists
    Then its process ends with the status for wrong settings

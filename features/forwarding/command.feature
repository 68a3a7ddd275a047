Feature: The process of a forwarding node

  Scenario: A reload signal during the start does not kill the node
    When a node without settings is signalled to reload them while it starts
    Then its process exits with the status for invalid settings

  Scenario: A node that is told of new settings before its program has begun goes on
    When a node's process is signalled to reload its settings as soon as it exists
    Then its process exits with the status for invalid settings

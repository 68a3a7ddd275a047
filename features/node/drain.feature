Feature: A graceful shutdown interrupts no request

  Scenario: Every node is restarted in turn under load
    Given a deployment of 3 nodes with links to the store and long reports
    When every node is sent SIGTERM in turn, exits and is started again
    Then no caller's connection was cut
    And every caller got its complete answer

  Scenario: A node is sent SIGTERM twice while long reports run
    Given a deployment of 3 nodes with links to the store and long reports
    When node "node-1" is sent SIGTERM twice and exits
    Then no caller's connection was cut
    And every caller got its complete answer

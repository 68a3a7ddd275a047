Feature: Links between nodes

  Scenario: Closing a link while its reader waits does not stop the node
    Given two nodes that are linked
    When the first closes the link 50 times while it waits for replies
    Then each time a request over a new link is answered

  Scenario: A peer whose process exits is detected as exited
    Given two nodes that are linked
    When the process of the second exits
    Then the first detects that the second has exited

  Scenario: A peer that exits with unread messages is detected as exited
    Given two nodes that are linked
    When the process of the second exits with unread messages
    Then the first detects that the second has exited

  Scenario: A running peer that closes a link is not detected as exited
    Given two nodes that are linked
    When the second closes the link and new connections are refused
    Then the first does not detect that the second has exited

  Scenario: A peer that only refuses connections is not detected as exited
    Given two nodes that are linked
    When the first closes the link and new connections are refused
    Then the first does not detect that the second has exited

  Scenario: A peer that accepts a new link after one ended has not exited
    Given two nodes that are linked
    When the stream of the link ends and new connections are accepted
    Then the first does not detect that the second has exited

  Scenario: The count of bytes sent equals the bytes on the socket
    Given two nodes that are linked through a counting relay
    When the relay cuts the link 5 times between requests
    Then the first node's count of bytes never decreased
    And it equals the relay's count

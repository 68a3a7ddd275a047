Feature: Links between nodes

  Scenario: A link dropped while its reader waits leaves the node running
    Given two nodes that are linked
    When the first drops the link 50 times while it waits for replies
    Then each time a new request over a new link is answered

  Scenario: A peer whose process ends is known to have ended
    Given two nodes that are linked
    When the process of the second ends
    Then the first knows that the second has ended

  Scenario: A peer whose process ends with messages unread has ended
    Given two nodes that are linked
    When the process of the second ends with messages unread
    Then the first knows that the second has ended

  Scenario: A peer that closes a link but runs is not taken to have ended
    Given two nodes that are linked
    When the second closes the link and new connections are refused
    Then the first does not know that the second has ended

  Scenario: A peer that refuses connections is not taken to have ended
    Given two nodes that are linked
    When the first drops the link and new connections are refused
    Then the first does not know that the second has ended

  Scenario: A peer whose link ends but that accepts a new one has not ended
    Given two nodes that are linked
    When the stream of the link ends and new connections are accepted
    Then the first does not know that the second has ended

  Scenario: The bytes sent are those that the socket carried
    Given two nodes that are linked through a counting relay
    When the relay cuts the link 5 times between requests
    Then the first node's count of bytes never fell
    And it is the count of the relay

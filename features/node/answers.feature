Feature: A caller gets the complete answer to its own request

  Scenario Outline: Answers of services arrive late, swapped or truncated
    Given a deployment of 2 nodes with links to the store
    When services <fault> while 24 reads with distinct payloads are sent
    Then every read was answered with its own payload

    Examples:
      | fault                              |
      | answer after the caller's timeout  |
      | swap the answers of two calls      |
      | truncate the next answers          |
      | close after running without answer |

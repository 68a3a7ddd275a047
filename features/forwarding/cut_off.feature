Feature: Nodes that are cut off from all endpoints go on serving

  Clients, the store and the other nodes still reach such a node.

  Scenario Outline: Calls are served by nodes that are cut off: <cut> of 4, <form>
    Given a world with 4 plain endpoints and 4 nodes
    When <cut> nodes are cut off from all endpoints (<form>) while calls arrive
    Then from 3 seconds after the cut its nodes serve two thirds as often as the others

    Examples:
      | cut | form   |
      | 1   | hang   |
      | 1   | reset  |
      | 1   | refuse |
      | 3   | hang   |
      | 3   | reset  |
      | 3   | refuse |

  Scenario Outline: Generations are served by nodes that are cut off: <cut> of 4, <form>
    Given a world with 4 engines and 4 nodes
    When <cut> nodes are cut off from all endpoints (<form>) while generations arrive
    Then from 3 seconds after the cut its nodes serve two thirds as often as the others
    And every stream that began after the cut is whole and in order

    Examples:
      | cut | form   |
      | 2   | hang   |
      | 2   | reset  |
      | 2   | refuse |
      | 3   | hang   |

  Scenario Outline: The other nodes go on using all endpoints (<form>)
    Given a world with 4 plain endpoints and 4 nodes
    When 1 nodes are cut off from all endpoints (<form>) while calls arrive
    Then no endpoint is ejected at the other nodes
    And no request has a strike

    Examples:
      | form   |
      | hang   |
      | reset  |
      | refuse |

  Scenario: Calls that must not be repeated run at most once
    Given a world with 4 plain endpoints and 4 nodes
    When 2 nodes are cut off and back again and again while writes arrive
    Then no write ran twice
    And no write that was refused ran

  Scenario: Streams that are open when new connections are refused live on
    Given a world with 2 engines and 2 nodes
    When a node with an open stream is cut off from all endpoints (refuse)
    Then the stream is whole after one run

  Scenario Outline: Calls that arrive together at a node that is cut off are all served (<form>)
    Given a world with 4 plain endpoints and 3 nodes
    When 30 calls arrive at the same time at a node that is cut off (<form>)
    Then each call was served

    Examples:
      | form   |
      | hang   |
      | refuse |

  Scenario: A node sends directly again after the cut
    Given a world with 4 plain endpoints and 4 nodes
    When a node is cut off for 2 seconds and back for 3 seconds
    Then it sends directly again

  Scenario: An endpoint that has ended is not reached through other nodes
    Given a world with 2 plain endpoints and 2 nodes
    When an endpoint ends without notice while calls arrive
    Then each call was served
    And no node takes itself for cut off

  Scenario: When all nodes are cut off requests are refused at once
    Given a world with 2 plain endpoints and 2 nodes
    When all nodes are cut off from all endpoints (hang)
    Then each call is refused within 2 seconds with a time to retry

Feature: Nodes that are gone are neither listed nor chosen

  # Guards against former hubs that are taken for live, and members that are
  # never forgotten, as long as a node runs.
  Scenario Outline: A node that was a hub for a while <ends>
    Given a world with 2 plain endpoints and 5 nodes
    When a node that was a hub for a while <ends>
    Then no other node lists its address after 6 seconds
    And no other node knows it as a member after 10 seconds

    Examples:
      | ends            |
      | is told to stop |
      | is killed       |

  Scenario Outline: A node that <is a hub> <ends>
    Given a world with 2 plain endpoints and 5 nodes
    When a node that <is a hub> <ends>
    Then no other node lists its address after 6 seconds
    And no other node knows it as a member after 10 seconds

    Examples:
      | is a hub    | ends            |
      | is a hub    | is told to stop |
      | is a hub    | is killed       |
      | is no hub   | is told to stop |
      | is no hub   | is killed       |

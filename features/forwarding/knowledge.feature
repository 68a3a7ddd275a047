Feature: Nodes keep the platform's state, also while its store fails

  Scenario Outline: A node follows the store through its failures
    Given a world with 2 plain endpoints and 2 nodes
    When the store is <trouble> for 2 seconds and a route is added after it
    Then every node serves the new route within 2 seconds

    Examples:
      | trouble   |
      | busy      |
      | reset     |
      | silent    |
      | compacted |

  Scenario: Changes that watches missed are applied afterwards
    Given a world with 2 plain endpoints and 2 nodes
    When an endpoint leaves while watches return nothing for 2 seconds and the history is compacted
    Then it gets no request later than 1 second after that

  Scenario: A node that cannot reach the store gets changes from its peers
    Given a world with 2 plain endpoints and 2 nodes
    When the store is unreachable for one node and a key is withdrawn
    Then that node refuses the key within 2 seconds

  Scenario: A node that starts in an outage gets the configuration from its peers
    Given a world with 2 plain endpoints and 1 node
    When the store goes down and another node starts
    Then that node serves within 3 seconds

  Scenario: A withdrawn key stays withdrawn after a restart in an outage
    Given a world with 2 plain endpoints and 2 nodes
    When a key is withdrawn, the store goes down and another node starts
    Then that node never served the key

  Scenario: Seeds that change without a signal are queried
    Given a world whose store is down and 1 node
    When another node starts alone and its settings then list the first one as a seed
    Then it knows the first node within 3 seconds

  Scenario: A leaving endpoint gets no new requests
    Given a world with 2 plain endpoints and 2 nodes
    When an endpoint announces that it leaves
    Then it gets no request later than 1 second after that

  Scenario: Endpoints whose records lapsed in an outage are kept until it ends
    Given a world with 2 plain endpoints and 1 node
    When the records of all endpoints lapse while the store is down
    Then calls are served during the outage and after the records are back

  Scenario: An endpoint that is removed after an outage leaves at once
    Given a world with 2 plain endpoints and 2 nodes
    When the store fails for 2 seconds and 3 seconds later a record is removed
    Then it gets no request later than 1 second after that

  Scenario: A closed zone gets no new requests
    Given a world with 2 plain endpoints and 2 nodes
    When the zone of all endpoints is closed
    Then calls are refused within 1 second with a time to retry

  Scenario: Records that cannot be decoded add no endpoint
    Given a world with 1 plain endpoints and 1 node
    When records that cannot be decoded appear
    Then calls reach only the one endpoint

  Scenario: Calls that arrive while a node stops are all answered
    Given a world with 2 plain endpoints and 2 nodes
    When a node is told to stop while 60 calls arrive on new connections
    Then each call was answered 200

  Scenario: A node that stops leaves the directory and breaks no request
    Given a world with 2 plain endpoints and 2 nodes
    When a node is told to stop while a call is in progress
    Then the call was answered 200
    And the other node no longer lists its address
    And it is not ready

  Scenario Outline: An odd record of another writer (<kind>) stops no node
    Given a world with 1 plain endpoints and 2 nodes
    When a record with <kind> appears among those of the endpoints
    Then every node serves the new route within 2 seconds
    And calls reach only the one endpoint

    Examples:
      | kind                    |
      | deep nesting            |
      | deep nesting in a field |
      | a huge number           |
      | a huge start            |
      | an endless cold start   |
      | a port out of range     |
      | an impossible address   |
      | a line break in its id  |

  # Guards against nodes that trust hubs for too long which have lost the store.
  Scenario Outline: Hubs lose the store <seconds> seconds before a version is written
    Given a world with 2 plain endpoints and 4 nodes
    When no hub gets an answer of the store and <seconds> seconds later a route is added
    Then every node serves the new route within 2 seconds

    Examples:
      | seconds |
      | 0.2     |
      | 0.35    |
      | 0.5     |
      | 0.65    |

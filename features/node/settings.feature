Feature: Settings of a node

  Scenario: Valid settings are read
    Given a valid settings file
    When the settings are read
    Then node "node-1" listens for callers at "127.0.0.1:8080"

  Scenario: The example file is read
    When the settings of "examples/node.ini" are read
    Then peers connect to "203.0.113.11:8081"

  Scenario: Peers connect to the listening address if no other is given
    Given a valid settings file
    When the settings are read
    Then peers connect to "127.0.0.1:8081"

  Scenario Outline: An address that no peer can connect to is rejected
    Given a settings file where
      | section | key                     | text         |
      | node    | peer_address            | <listened>   |
      | node    | advertised_peer_address | <advertised> |
    When the settings are read
    Then a fault names the key "advertised_peer_address"

    Examples:
      | listened       | advertised        |
      | 0.0.0.0:8081   | 0.0.0.0:8081      |
      | 127.0.0.1:8081 | 127.0.0.1:0       |
      | 127.0.0.1:8081 | peer.example:8081 |

  Scenario: A node that listens on every interface must set the address for peers
    Given a settings file where
      | section | key          | text         |
      | node    | peer_address | 0.0.0.0:8081 |
    When the settings are read
    Then a fault names the key "advertised_peer_address"

  Scenario: All invalid settings are reported at once
    Given a settings file where
      | section  | key               | text            |
      | node     | caller_address    | localhost:8080  |
      | node     | zone              |                 |
      | limits   | header_bytes      | many            |
      | timing   | heartbeat_seconds | -1              |
      | platform | stroe             | 127.0.0.1:1     |
    When the settings are read
    Then 5 faults are reported, each with file, section, key and the text read

  Scenario: A missing section is reported
    Given a settings file without the section "secrets"
    When the settings are read
    Then a fault names the section "secrets"

  Scenario: The process exits with status 2 and reports the fault
    Given a settings file where
      | section | key            | text           |
      | node    | caller_address | localhost:8080 |
    When a node is started with it
    Then it exits with status 2 and prints "[node] caller_address"

  Scenario: Secrets are never printed
    Given a valid settings file
    And its secret file is empty
    When a node is started with it
    Then it exits with status 2 and prints "the file is empty"

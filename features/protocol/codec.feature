Feature: Messages between nodes

  Scenario: Every message survives encoding and decoding
    When 300 generated messages of every type are encoded and decoded
    Then each one is equal to the original

  Scenario: Arbitrary bytes are decoded to a message or a typed error
    When 2000 arbitrary byte strings are decoded as frames
    Then each one is a message or a typed error

  Scenario: Arbitrary CBOR values are decoded to a message or a typed error
    When 2000 arbitrary CBOR values are decoded as frames
    Then each one is a message or a typed error

  Scenario: Long messages are compressed and short ones are not
    When a hub's update with 195 endpoints and a heartbeat are encoded
    Then the frame of the update is shorter than a third of its CBOR
    And the frame of the heartbeat is its uncompressed CBOR
    And both are decoded to the original messages

  Scenario Outline: A corrupt compressed frame gives a typed error
    When a compressed frame that <fault> is decoded
    Then the decoding fails with "<error>"

    Examples:
      | fault                            | error                      |
      | ends early                       | compressed: truncated      |
      | has bytes after its end          | compressed: trailing bytes |
      | has a wrong byte                 | compressed: corrupt data   |
      | expands to 100 times the longest | frame too long             |

  Scenario Outline: The handshake refuses a peer without the secret or with another version
    Given a peer with <fault>
    When the peer does the handshake with an accepting node
    Then the handshake fails as "<error>"

    Examples:
      | fault                    | error              |
      | another secret           | PeerNotTrusted     |
      | another protocol version | UnsupportedVersion |
      | a replayed proof         | PeerNotTrusted     |

  Scenario: The connecting node refuses an accepting node without the secret
    When a connecting node receives a welcome from a node with another secret
    Then the handshake fails as "PeerNotTrusted"

  # Builds of form 1 close the connection when the number of fields differs.
  Scenario: Messages for a peer of form 1 have the fields that it knows
    When messages of every type are encoded for a peer of form 1
    Then each frame has the released fields of its type

  # A field or type number that changes its meaning splits a fleet of two builds.
  Scenario: Released layouts only grow at their ends
    Then each released layout is the beginning of the layout in use
    And the fields added since have defaults

  Scenario: Frames of other builds are understood
    When a heartbeat with 8 of its fields and one with 2 unknown ones are decoded
    Then both are heartbeats with the fields that were sent

  Scenario: A message of an unknown type is told from a malformed one
    When a frame of type 9999 is decoded
    Then the decoding fails as an unknown type

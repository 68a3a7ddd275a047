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

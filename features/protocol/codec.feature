Feature: Messages between nodes

  Scenario: Every message survives encoding and decoding
    When 300 generated messages of every type are encoded and decoded
    Then each one is equal to the original

  Scenario: Arbitrary bytes give a typed error
    When 2000 arbitrary byte strings are decoded as frames
    Then each one is a message or a typed error

  Scenario: Arbitrary CBOR values give a typed error
    When 2000 arbitrary CBOR values are decoded as frames
    Then each one is a message or a typed error

  Scenario: A long message is compressed, a short one is not
    When a hub's view of 195 endpoints and a beat are encoded
    Then the frame of the view is less than a third of its CBOR
    And the frame of the beat is its CBOR
    And both are decoded to the messages that they were

  Scenario Outline: A compressed frame that is not whole gives a typed error
    When a compressed frame is decoded that <fault>
    Then the decoding fails with "<error>"

    Examples:
      | fault                            | error                   |
      | ends early                       | compressed: cut short   |
      | has bytes after its end          | compressed: bytes after |
      | has a wrong byte                 | compressed: error       |
      | expands to 100 times the longest | frame too long          |

  Scenario Outline: The handshake refuses an untrusted or different peer
    Given a peer with <fault>
    When it shakes hands with an accepting node
    Then the handshake fails as "<error>"

    Examples:
      | fault                    | error              |
      | another secret           | PeerNotTrusted     |
      | another protocol version | UnsupportedVersion |
      | a replayed proof         | PeerNotTrusted     |

  Scenario: The connecting node refuses an accepting node without the secret
    When a connecting node gets the welcome of one with another secret
    Then the handshake fails as "PeerNotTrusted"

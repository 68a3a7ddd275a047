"""The protocol between nodes: typed messages in CBOR over websockets.

`messages` and `fleet_messages` have the data classes, `codec` their encoding
and validation, `handshake` the mutual authentication, `errors` the protocol
errors.
"""

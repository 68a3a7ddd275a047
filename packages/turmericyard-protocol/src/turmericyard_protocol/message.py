"""What all messages between nodes have in common."""

from msgspec import Struct


class Message(Struct, frozen=True, array_like=True):
    """A message, or a part of one: the list of its fields on the wire."""

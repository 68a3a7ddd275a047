"""Base class of all messages between nodes."""

from msgspec import Struct


class Message(Struct, frozen=True, array_like=True):
    """A message or a part of one; on the wire, the list of its fields."""

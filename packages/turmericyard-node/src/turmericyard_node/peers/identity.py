"""Identity of this process towards its peers."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class Identity:
    """Name and incarnation of a node, and the cluster secret."""

    node: str
    incarnation: str
    secret: bytes

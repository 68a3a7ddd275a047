"""Endpoints as the platform publishes them, and the copies of their runs."""

from enum import Enum

from msgspec import Struct


class EndpointState(Enum):
    """Whether an endpoint takes new requests."""

    READY = 'ready'
    LEAVING = 'leaving'


class EndpointRecord(Struct, frozen=True):
    """One start of an endpoint.

    An endpoint that starts again may keep its identity; `born` (milliseconds
    since the epoch, None where it is not told) then differs.
    """

    identity: str
    service: str
    address: str
    zone: str
    slots: int
    state: EndpointState
    cold_seconds: float = 0
    born: int | None = None


class CopiedRun(Struct, frozen=True):
    """A run whose memory can be continued.

    `source` is the `ip:port` at which `handle` is known.
    """

    source: str
    handle: str


class CopyFailure(Enum):
    """Why a run was not copied."""

    NO_RUN = 'the endpoint runs no such request'
    UNDER_WAY = 'a copy of the run is being made'
    NO_ROOM = 'no room at the destination, or it is out of reach'
    NO_ANSWER = 'the endpoint gave no answer'


class CopyRefused(Struct, frozen=True):
    """A copy that was not made."""

    failure: CopyFailure

    @property
    def message(self) -> str:
        """Return what happened and the remedy."""
        return f'{self.failure.value}: continue elsewhere or try again'

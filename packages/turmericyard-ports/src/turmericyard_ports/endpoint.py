"""Endpoints as the platform publishes them, and copies of their runs."""

from enum import Enum

from msgspec import Struct

from turmericyard_ports.rollout import Version


class EndpointState(Enum):
    """Whether an endpoint takes new requests."""

    READY = 'ready'
    LEAVING = 'leaving'


class EndpointRecord(Struct, frozen=True):
    """One start of an endpoint.

    An endpoint may keep its identity over a restart. `born` then differs: the
    time of the start in milliseconds since the epoch, None where it is not
    published. `cold_seconds` is the time for which the endpoint stays cold.
    """

    identity: str
    service: str
    address: str
    zone: str
    slots: int
    state: EndpointState
    cold_seconds: float = 0
    born: int | None = None
    #: Version of its program, '' where it is not published.
    version: Version = ''


class CopiedRun(Struct, frozen=True):
    """A copy of a run's memory, from which the run can be continued.

    `source` is the `ip:port` of the endpoint that knows `handle`.
    """

    source: str
    handle: str


class CopyFailure(Enum):
    """Why a run was not copied."""

    NO_RUN = 'the endpoint runs no such request'
    UNDER_WAY = 'a copy of the run is being made'
    NO_ROOM = 'no room at the destination, or it is out of reach'
    NO_ANSWER = 'the endpoint gave no answer'
    REFUSED = 'nothing listens at the address of the endpoint'


class CopyError(Struct, frozen=True):
    """Error of a copy that was not made.

    `kept` is the memory that the endpoint keeps of a run that it has stopped.
    """

    failure: CopyFailure
    kept: CopiedRun | None = None

    @property
    def message(self) -> str:
        """Return what happened and the remedy."""
        return f'{self.failure.value}: continue elsewhere or try again'

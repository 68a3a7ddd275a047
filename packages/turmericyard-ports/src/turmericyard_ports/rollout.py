"""Roll-outs of versions: the operators' orders and the system's status."""

from enum import Enum

from msgspec import Struct

#: Version of an endpoint's program, as the platform writes it.
Version = str | int
#: Store prefix of the system's own state of roll-outs, followed by the service.
STATE_PREFIX = 'turmericyard/rollouts/'


class RolloutState(Enum):
    """Outcome of a roll-out as the platform sees it."""

    RUNNING = 'running'
    COMPLETED = 'completed'
    ROLLED_BACK = 'rolled back'


class RolloutOrder(Struct, frozen=True):
    """Order to move a service's requests to endpoints of a version.

    `seconds` is the time after the order by which this is to be decided.
    """

    service: str
    version: Version
    seconds: float


class RolloutStatus(Struct, frozen=True):
    """What the system reports to the platform about a roll-out."""

    service: str
    state: RolloutState
    version: Version

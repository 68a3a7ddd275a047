"""The state of a roll-out as the deciding hub keeps it in the store."""

from msgspec import MsgspecError, Struct, json

from turmericyard_decisions.rollout_stage import Stage
from turmericyard_ports.rollout import (
    RolloutState,
    Version,
)

#: Most versions that are kept as barred.
MAX_BARRED = 8


class StoredRollout(Struct, frozen=True):
    """Stage and evidence of a roll-out at its last change of stage.

    `order` is the revision of the order. Each of `nodes` nodes has an equal
    part of the slack. `barred` are versions that an earlier order named and
    that were not completed: their endpoints get nothing.
    """

    order: int
    version: Version
    stage: Stage
    nodes: int
    barred: tuple[Version, ...] = ()
    reason: str = ''

    @property
    def state(self) -> RolloutState:
        """Return the state that the platform is told."""
        if self.stage is Stage.COMPLETED:
            return RolloutState.COMPLETED
        if self.stage is Stage.ROLLED_BACK:
            return RolloutState.ROLLED_BACK
        return RolloutState.RUNNING


def encode_stored(stored: StoredRollout) -> bytes:
    """Return the value of the store item."""
    return json.encode(stored)


def read_stored(value: bytes) -> StoredRollout | None:
    """Return the state in a store item, None if it is invalid."""
    try:
        return json.decode(value, type=StoredRollout)
    except (MsgspecError, UnicodeDecodeError, RecursionError):
        return None


def barred_after(stored: StoredRollout | None) -> tuple[Version, ...]:
    """Return the versions that stay barred when another order follows."""
    if stored is None:
        return ()
    if stored.stage is Stage.COMPLETED:
        return stored.barred
    others = [each for each in stored.barred if each != stored.version]
    return (*others, stored.version)[-MAX_BARRED:]

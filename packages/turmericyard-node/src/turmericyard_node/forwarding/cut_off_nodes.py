"""The nodes that reach no endpoint by themselves, as a hub knows them."""

from collections.abc import Callable, Iterable
from dataclasses import dataclass


@dataclass(slots=True)
class CutOffNodes:
    """What the last update of a hub said about nodes that are cut off.

    `own` returns the name of the hub's node if it is one of them.
    """

    own: Callable[[], tuple[str, ...]] = tuple
    reported: tuple[str, ...] = ()

    def changed(self, found: Iterable[str]) -> tuple[str, ...] | None:
        """Return the nodes that are cut off, None if they are unchanged.

        `found` are those whose heartbeats say so.
        """
        now = (*sorted(found), *self.own())
        if now == self.reported:
            return None
        self.reported = now
        return now

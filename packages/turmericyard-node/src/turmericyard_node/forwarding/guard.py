"""Keeps copies of runs that a sudden end of their endpoint would cut off.

An endpoint keeps a running backup of a request only as it was sent with one.
A run that found no room for a backup, or whose backup has left, gets a copy
that is brought up to date until the run ends.
"""

from dataclasses import dataclass

import curio

from turmericyard_http.clock import Clock
from turmericyard_node.forwarding.moves import Mover
from turmericyard_node.forwarding.runs import Run
from turmericyard_node.forwarding.waiting import WaitingRoom

#: Time between two looks at the runs, in seconds.
LOOK_SECONDS = 0.5
#: Age at which a copy is brought up to date, in seconds; it lapses at 5 s.
REFRESH_SECONDS = 3.0
#: Expected rest of the output below which a run is left as it is, in tokens:
#: about a second.
LEAST_TOKENS = 160
#: Share of an endpoint's memory up to which it may hold such copies; below
#: that of backups, as copies must not take the room of new requests.
GUARD_SHARE = 0.6


@dataclass(slots=True)
class Guard:
    """Copies the runs of this node that have no backup, one at a time."""

    mover: Mover
    room: WaitingRoom
    clock: Clock

    async def run(self) -> None:
        """Look for runs without a backup until cancelled."""
        while True:
            await curio.sleep(LOOK_SECONDS)
            for run in tuple(self.mover.book.runs):
                if not self.room.waiters and self.is_due(run):
                    await self.mover.copy(run, GUARD_SHARE)

    def is_due(self, run: Run) -> bool:
        """Return whether a run needs a copy, or its copy a refresh."""
        engine = run.job.service.engine
        if engine is None or not engine.can_move or run.ended:
            return False
        if run.place.leaving_since is not None or run.has_backup():
            return False
        if run.remaining_tokens() < LEAST_TOKENS:
            return False
        return self.clock() - run.copied_at > REFRESH_SECONDS

"""Notices when the loop stood still, and whether the process worked then."""

import time
from dataclasses import dataclass

import curio

from turmericyard_http.clock import Clock
from turmericyard_node.events import Event, log_event

LOOK_SECONDS = 0.25
#: Lateness of a look that is logged, in seconds: a stream's events may then
#: have come late.
STALL_SECONDS = 0.08


@dataclass(slots=True)
class StallWatch:
    """Compares each sleep with the time that it took."""

    clock: Clock
    stalls: int = 0

    async def run(self) -> None:
        """Look until cancelled."""
        while True:
            began_at = self.clock()
            worked = time.process_time()
            await curio.sleep(LOOK_SECONDS)
            late = self.clock() - began_at - LOOK_SECONDS
            if late > STALL_SECONDS:
                self.stalls += 1
                log_event(
                    Event.LOOP_STALLED,
                    late_seconds=round(late, 3),
                    processor_seconds=round(time.process_time() - worked, 3),
                )

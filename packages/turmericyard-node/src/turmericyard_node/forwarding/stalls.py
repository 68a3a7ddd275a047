"""Detects stalls of the event loop, and the processor time used meanwhile."""

import time
from dataclasses import dataclass

import curio

from turmericyard_http.clock import Clock
from turmericyard_node.events import Event, log_event

#: Duration of each sleep, in seconds.
SLEEP_SECONDS = 0.25
#: Excess of a sleep above which a stall is logged, in seconds: events of streams
#: may have been delayed as much.
STALL_SECONDS = 0.08


@dataclass(slots=True)
class StallWatch:
    """Compares the duration of short sleeps with the requested time."""

    clock: Clock
    stalls: int = 0

    async def run(self) -> None:
        """Log and count stalls until cancelled."""
        while True:
            began_at = self.clock()
            processor_began = time.process_time()
            await curio.sleep(SLEEP_SECONDS)
            late = self.clock() - began_at - SLEEP_SECONDS
            if late > STALL_SECONDS:
                self.stalls += 1
                log_event(
                    Event.LOOP_STALLED,
                    late_seconds=round(late, 3),
                    processor_seconds=round(
                        time.process_time() - processor_began, 3
                    ),
                )

"""The clocks: one for durations and deadlines, one for records."""

import time
from collections.abc import Callable
from typing import TypeAlias

Clock: TypeAlias = Callable[[], float]


def boot_seconds() -> float:
    """Return seconds of the boot clock, which includes time suspended."""
    return time.clock_gettime(time.CLOCK_BOOTTIME)


def wall_seconds() -> float:
    """Return seconds since the epoch, for records that people read."""
    return time.time()

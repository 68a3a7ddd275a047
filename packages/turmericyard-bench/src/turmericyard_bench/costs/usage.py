"""Processor time and memory of processes, from /proc."""

import os
from dataclasses import dataclass
from pathlib import Path

CLOCK_TICKS = os.sysconf('SC_CLK_TCK')
PAGE_BYTES = os.sysconf('SC_PAGESIZE')
#: Fields of /proc/PID/stat after the command, counted from 0.
USER_FIELD = 11
SYSTEM_FIELD = 12


@dataclass(frozen=True, slots=True)
class Usage:
    """Processor seconds used so far and resident bytes now."""

    cpu_seconds: float
    rss_bytes: int


def read_usage(pid: int) -> Usage:
    """Return the usage of a process; raises OSError when it has ended."""
    process = Path('/proc', str(pid))
    stat = (process / 'stat').read_text().rpartition(')')[2].split()
    ticks = int(stat[USER_FIELD]) + int(stat[SYSTEM_FIELD])
    pages = int((process / 'statm').read_text().split()[1])
    return Usage(ticks / CLOCK_TICKS, pages * PAGE_BYTES)

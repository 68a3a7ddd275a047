"""The resident memory of the process that runs the features."""

import re
from collections.abc import Callable
from pathlib import Path

KILOBYTE = 1024
MEGABYTE = 1_048_576
#: Resets the peak of the resident memory; see proc(5).
RESET_PEAK = '5'


def peak_growth(run: Callable[[], object]) -> int:
    """Return by how many bytes the peak grows while a function runs."""
    Path('/proc/self/clear_refs').write_text(RESET_PEAK)
    before = peak_bytes()
    run()
    return peak_bytes() - before


def peak_bytes() -> int:
    """Return the most resident memory since the peak was reset."""
    status = Path('/proc/self/status').read_text()
    match = re.search(r'VmHWM:\s+(\d+) kB', status)
    return int(match[1]) * KILOBYTE

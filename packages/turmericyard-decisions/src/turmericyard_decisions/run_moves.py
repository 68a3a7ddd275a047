"""In which order runs are copied away from an endpoint that leaves.

Answers a reclaim with short notice: the copies of all runs share one link, and
not all may fit into the notice.
"""

from collections.abc import Callable, Iterable
from typing import TypeVar

RunT = TypeVar('RunT')


def order_copies(
    runs: Iterable[RunT], tokens: Callable[[RunT], float]
) -> list[RunT]:
    """Return the runs, the shortest copy first, so that most are saved."""
    return sorted(runs, key=tokens)

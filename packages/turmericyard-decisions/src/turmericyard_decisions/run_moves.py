"""Order in which runs are copied from an endpoint that is being reclaimed.

After a reclaim at short notice the copies of all runs share one link, and there
may not be enough time for all of them.
"""

from collections.abc import Callable, Iterable
from typing import TypeVar

RunT = TypeVar('RunT')


def order_copies(
    runs: Iterable[RunT], tokens: Callable[[RunT], float]
) -> list[RunT]:
    """Return the runs, shortest first, so that as many as possible are copied.

    `tokens` returns the length of a run.
    """
    return sorted(runs, key=tokens)

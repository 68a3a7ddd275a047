"""Load reports of an engine, published with a lag."""

from collections import deque
from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class LoadReport:
    """Load of an engine at `taken_at`, in engine clock seconds.

    `preemptions` and `stalls` count since the process started. A stall is a
    wait for memory of a generation that had already produced tokens;
    `stall_seconds` is the total time of all stalls.
    """

    taken_at: float
    restart: str
    running: int = 0
    waiting: int = 0
    resident_tokens: int = 0
    memory_tokens: int = 0
    preemptions: int = 0
    stalls: int = 0
    stall_seconds: float = 0
    generations: tuple[str, ...] = ()


class LoadHistory:
    """Stores reports so that each is published `lag_seconds` late."""

    def __init__(self, lag_seconds: float, first: LoadReport) -> None:
        self.lag_seconds = lag_seconds
        self.reports = deque([first])

    def record(self, report: LoadReport) -> None:
        """Append the newest report and discard those that are too old."""
        self.reports.append(report)
        self.discard_old(report.taken_at)

    def published(self, now: float) -> LoadReport:
        """Return the newest report that is at least `lag_seconds` old."""
        published_until = now - self.lag_seconds
        newest = self.reports[0]
        for report in self.reports:
            if report.taken_at > published_until:
                break
            newest = report
        return newest

    def discard_old(self, now: float) -> None:
        """Discard reports that no later call can publish."""
        published_until = now - self.lag_seconds
        while (
            len(self.reports) > 1
            and self.reports[1].taken_at <= published_until
        ):
            self.reports.popleft()

"""Ledger of calls of the plain service stand-in."""

from collections import Counter
from dataclasses import asdict, dataclass, field
from pathlib import Path
from typing import Any

import orjson


@dataclass(frozen=True, slots=True)
class Run:
    """One call that ran; times in boot-clock seconds."""

    request: str
    key: str | None
    operation: str
    started: float


@dataclass(slots=True)
class ServiceLedger:
    """Every call that ran and the highest number of concurrent calls.

    With a `path`, the runs are stored in that file, so they remain when the
    process is killed.

    `cold_excess` lists the times at which a cold service got more than
    `cold_limit` concurrent calls.
    """

    limit: int
    cold_limit: int
    path: Path | None = None
    runs: list[Run] = field(default_factory=list)
    running: int = 0
    peak: int = 0
    completed: int = 0
    refused: int = 0
    cold_excess: list[float] = field(default_factory=list)

    def begin(self, run: Run, cold: bool) -> bool:
        """Record the start of a call; return False when it is refused."""
        current_limit = self.cold_limit if cold else self.limit
        if self.running >= current_limit:
            self.refused += 1
            if cold:
                self.cold_excess.append(run.started)
            return False
        self.runs.append(run)
        self.store(run)
        self.running += 1
        self.peak = max(self.peak, self.running)
        return True

    def store(self, run: Run) -> None:
        """Append a run to the file, before its call starts to run."""
        if self.path is None:
            return
        with self.path.open('ab') as file:
            file.write(orjson.dumps(run, option=orjson.OPT_APPEND_NEWLINE))

    def restore(self) -> None:
        """Load the runs of earlier processes from the file."""
        if self.path is None or not self.path.exists():
            return
        for line in self.path.read_bytes().splitlines():
            self.runs.append(Run(**orjson.loads(line)))

    def end(self) -> None:
        """Record the end of a call."""
        self.running -= 1
        self.completed += 1

    def summary(self) -> dict[str, Any]:
        """Return the ledger as plain JSON values."""
        return {
            'runs': [asdict(run) for run in self.runs],
            'by_key': Counter(run.key for run in self.runs if run.key),
            'by_request': Counter(run.request for run in self.runs),
            'peak': self.peak,
            'completed': self.completed,
            'refused': self.refused,
            'cold_excess': self.cold_excess,
        }

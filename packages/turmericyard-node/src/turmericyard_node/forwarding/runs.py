"""Generations under way at this node."""

from dataclasses import dataclass, field

from turmericyard_decisions.event_splice import EventSplice
from turmericyard_node.forwarding.endpoint_book import Endpoint
from turmericyard_node.forwarding.job import Job
from turmericyard_node.forwarding.load_book import LoadBook, Use
from turmericyard_node.forwarding.passage import Passage
from turmericyard_ports.endpoint import CopiedRun

#: Share of a run's expected rest that counts as memory that it will take: the
#: runs of an endpoint are not all at their ends at the same time.
HELD_SHARE = 0.5


@dataclass(frozen=True, slots=True)
class RunCopy:
    """A copy of a run and the endpoint that holds it."""

    copied: CopiedRun
    holder: Endpoint
    use: Use


@dataclass(slots=True, eq=False)
class Run:
    """One generation; its place changes when it moves.

    `copy` is one that was made since its endpoint announced that it leaves,
    `unfit` are endpoints (by identity) to which one could not be made.
    """

    job: Job
    place: Endpoint
    passage: Passage
    use: Use
    backup: Endpoint | None = None
    backup_use: Use | None = None
    splice: EventSplice = field(default_factory=EventSplice)
    copy: RunCopy | None = None
    unfit: set[str] = field(default_factory=set)
    ended: bool = False
    copied_at: float = 0
    moves: int = 0
    first_at: float = 0
    event_at: float = 0
    #: When the last whole event came, or the stream's present connection.
    progress_at: float = 0
    #: Whether its present endpoint has made events of it.
    began_here: bool = False
    longest_gap: float = 0
    gap_at: float = 0

    def tokens(self) -> float:
        """Return the tokens that the run holds in memory now."""
        prompt = self.job.arrival.prompt
        engine = self.job.service.engine
        made = self.splice.delivered * (engine.event_tokens if engine else 1)
        return (prompt.tokens if prompt else 0) + made

    def remaining_tokens(self) -> float:
        """Return the expected rest of the output, in tokens."""
        prompt = self.job.arrival.prompt
        engine = self.job.service.engine
        if prompt is None or engine is None:
            return 0
        made = self.splice.delivered * engine.event_tokens
        likely = self.job.likely_output()
        rest = max(likely - made, (prompt.max_output - made) / 4)
        return max(0, rest)

    def has_backup(self) -> bool:
        """Return whether an endpoint that stays keeps a running copy."""
        return self.backup is not None and self.backup.leaving_since is None

    def can_go_on(self) -> bool:
        """Return whether another endpoint has its memory."""
        return self.copy is not None or self.has_backup()

    def note_events(self, now: float) -> None:
        """Note that events arrived; keeps the longest gap between them."""
        self.first_at = self.first_at or now
        gap = now - self.event_at
        if self.event_at and gap > self.longest_gap:
            self.longest_gap = gap
            self.gap_at = now
        self.event_at = now
        self.progress_at = now
        self.began_here = True
        self.refresh_use()

    def first_seconds(self) -> float | None:
        """Return the time to the first event, None before it."""
        if not self.first_at:
            return None
        return round(self.first_at - self.job.arrival.arrived_at, 4)

    def refresh_use(self) -> None:
        """Tell the load book what the run holds now."""
        if self.splice.delivered:
            self.use.unread_tokens = 0
        held = self.tokens()
        self.use.held_tokens = held
        self.use.memory_tokens = held + HELD_SHARE * self.remaining_tokens()
        if self.backup_use is not None:
            self.backup_use.held_tokens = held


@dataclass(slots=True)
class RunBook:
    """The runs of this node."""

    loads: LoadBook
    runs: set[Run] = field(default_factory=set)

    def begin(self, run: Run) -> None:
        """Note a run that has begun."""
        self.runs.add(run)

    def end(self, run: Run) -> None:
        """Note that a run has ended here."""
        run.ended = True
        self.runs.discard(run)
        self.loads.end(run.use)
        self.loads.end(run.backup_use)
        if run.copy is not None:
            self.loads.end(run.copy.use)

    def at(self, endpoint: Endpoint) -> list[Run]:
        """Return the runs at an endpoint."""
        return [run for run in self.runs if run.place is endpoint]

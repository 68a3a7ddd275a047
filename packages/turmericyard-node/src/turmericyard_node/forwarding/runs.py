"""Generations under way at this node."""

from dataclasses import dataclass, field

import curio

from turmericyard_decisions.event_splice import EventSplice
from turmericyard_node.forwarding.endpoint_book import Endpoint
from turmericyard_node.forwarding.job import Job
from turmericyard_node.forwarding.load_book import LoadBook, Use
from turmericyard_node.forwarding.passage import Passage
from turmericyard_ports.endpoint import CopiedRun


@dataclass(frozen=True, slots=True)
class Handover:
    """A stopped run and the endpoint that holds its copy."""

    copied: CopiedRun
    destination: Endpoint


@dataclass(slots=True, eq=False)
class Run:
    """One generation; its place changes when it moves.

    `stopping` is an event while the last step of a move is under way.
    """

    job: Job
    place: Endpoint
    passage: Passage
    use: Use
    backup: Endpoint | None = None
    backup_use: Use | None = None
    splice: EventSplice = field(default_factory=EventSplice)
    handover: Handover | None = None
    stopping: curio.Event | None = None
    moving: bool = False
    ended: bool = False
    moves: int = 0

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

    def refresh_use(self) -> None:
        """Tell the load book what the run holds now."""
        if self.splice.delivered:
            self.use.unread_tokens = 0
        forecast = self.tokens() + self.remaining_tokens()
        self.use.memory_tokens = forecast
        if self.backup_use is not None:
            self.backup_use.memory_tokens = forecast


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

    def at(self, endpoint: Endpoint) -> list[Run]:
        """Return the runs at an endpoint."""
        return [run for run in self.runs if run.place is endpoint]

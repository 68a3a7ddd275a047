"""Generations that this node is forwarding."""

from dataclasses import dataclass, field

from turmericyard_decisions.event_stream_joiner import EventStreamJoiner
from turmericyard_node.forwarding.balancing.gap_meter import GapMeter
from turmericyard_node.forwarding.endpoint_registry import Endpoint
from turmericyard_node.forwarding.endpoint_response import EndpointResponse
from turmericyard_node.forwarding.job import Job
from turmericyard_node.forwarding.load_tracker import LoadTracker, RequestLoad
from turmericyard_ports.endpoint import CopiedRun

#: Share of a run's remaining output that is added to its memory forecast: the
#: runs of an endpoint do not all reach their full length at the same time.
REMAINING_MEMORY_SHARE = 0.5
#: Time for which an endpoint must have sent events of a run before a crash no
#: longer counts against the parts of its prompt, in seconds.
ESTABLISHED_SECONDS = 0.5


@dataclass(frozen=True, slots=True)
class RunCopy:
    """A copy of a run and the endpoint that holds it."""

    copied: CopiedRun
    holder: Endpoint
    load: RequestLoad


@dataclass(slots=True, eq=False)
class Run:
    """One generation; `current_endpoint` changes when it moves.

    `copy` was made after the endpoint announced that it leaves. Copies to the
    endpoints in `failed_holders`, by identity, have failed. `copied_at` is
    when the last successful copy was started.
    """

    job: Job
    current_endpoint: Endpoint
    response: EndpointResponse
    load: RequestLoad
    backup: Endpoint | None = None
    backup_load: RequestLoad | None = None
    event_joiner: EventStreamJoiner = field(default_factory=EventStreamJoiner)
    copy: RunCopy | None = None
    failed_holders: set[str] = field(default_factory=set)
    ended: bool = False
    #: Whether its stream is lost and it does not go on elsewhere yet.
    is_interrupted: bool = False
    copied_at: float = 0
    moves: int = 0
    first_event_at: float = 0
    last_event_at: float = 0
    #: When the last complete event arrived or the current response began.
    last_progress_at: float = 0
    #: When the current endpoint sent its first event, 0 before.
    first_event_here_at: float = 0
    #: Whether it was established at the current or an earlier endpoint.
    was_established: bool = False
    longest_gap: float = 0
    longest_gap_at: float = 0
    gap_meter: GapMeter = field(default_factory=GapMeter)

    def tokens(self) -> float:
        """Return the tokens that the run holds in memory now."""
        prompt = self.job.incoming.prompt
        engine = self.job.service.engine
        produced = self.event_joiner.delivered * (
            engine.tokens_per_event if engine else 1
        )
        return (prompt.tokens if prompt else 0) + produced

    def remaining_tokens(self) -> float:
        """Return the expected remaining output, in tokens."""
        prompt = self.job.incoming.prompt
        engine = self.job.service.engine
        if prompt is None or engine is None:
            return 0
        produced = self.event_joiner.delivered * engine.tokens_per_event
        likely = self.job.expected_output()
        remaining = max(likely - produced, (prompt.max_output - produced) / 4)
        return max(0, remaining)

    def has_backup(self) -> bool:
        """Return whether the run has a backup whose endpoint does not leave."""
        return self.backup is not None and self.backup.leaving_since is None

    def can_continue(self) -> bool:
        """Return whether another endpoint has a copy or backup of the run."""
        return self.copy is not None or self.has_backup()

    def client_waits_until(self) -> float:
        """Return until when its client waits for the next event, in seconds."""
        return self.last_progress_at + self.job.patience_seconds

    def is_established_here(self) -> bool:
        """Return whether the current endpoint has answered for some time."""
        if not self.first_event_here_at:
            return False
        answered_for = self.last_event_at - self.first_event_here_at
        return answered_for >= ESTABLISHED_SECONDS

    def record_events(self, now: float) -> None:
        """Record complete events that arrived, and the longest gap."""
        self.first_event_at = self.first_event_at or now
        gap = now - self.last_event_at
        if self.last_event_at and gap > self.longest_gap:
            self.longest_gap = gap
            self.longest_gap_at = now
        self.last_event_at = now
        self.last_progress_at = now
        self.first_event_here_at = self.first_event_here_at or now
        self.was_established |= self.is_established_here()
        self.update_load()

    def first_seconds(self) -> float | None:
        """Return the time from the client's request to the first event, in seconds.

        None before that event.
        """
        if not self.first_event_at:
            return None
        return round(self.first_event_at - self.job.incoming.arrived_at, 4)

    def update_load(self) -> None:
        """Update the load that is counted for the run and its backup."""
        if self.event_joiner.delivered:
            self.load.unread_tokens = 0
        held = self.tokens()
        self.load.held_tokens = held
        self.load.memory_tokens = (
            held + REMAINING_MEMORY_SHARE * self.remaining_tokens()
        )
        if self.backup_load is not None:
            self.backup_load.held_tokens = held


@dataclass(slots=True)
class RunRegistry:
    """The runs of this node and the load counted for them."""

    loads: LoadTracker
    runs: set[Run] = field(default_factory=set)

    def begin(self, run: Run) -> None:
        """Add a run that has begun."""
        self.runs.add(run)

    def end(self, run: Run) -> None:
        """Remove a run that has ended, and its load."""
        run.ended = True
        self.runs.discard(run)
        self.loads.end(run.load)
        self.loads.end(run.backup_load)
        if run.copy is not None:
            self.loads.end(run.copy.load)

    def at(self, endpoint: Endpoint) -> list[Run]:
        """Return the runs at an endpoint."""
        return [run for run in self.runs if run.current_endpoint is endpoint]

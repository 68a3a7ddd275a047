"""What the owner of an endpoint knows of it: warmth, memory, running work."""

from collections.abc import Callable
from dataclasses import dataclass, field
from functools import partial

from turmericyard_clients.engine_reports import EngineLoad
from turmericyard_decisions.admission import (
    Deferral,
    EngineLedger,
    LoadReport,
    create_engine_ledger,
)
from turmericyard_decisions.length import LengthModel
from turmericyard_decisions.memory import RunningGeneration
from turmericyard_decisions.warmth import ColdSign, Warmth, create_warmth
from turmericyard_node.events import Event, log_event
from turmericyard_protocol.messages import (
    EndpointLoad,
    PermitRelease,
    PermitRequest,
)
from turmericyard_tables.models import Pool, Route

#: Memory limit, in tokens, of an endpoint whose pool has none.
UNLIMITED_TOKENS = 1_000_000_000


def unrestricted(now: float, bound: int) -> int:
    """Return the bound itself, which an owner with all shares may use."""
    return bound


@dataclass(slots=True)
class EndpointState:
    """Warmth, forecast and running requests of one endpoint.

    `restart` is the engine's restart id, empty before its first load report.
    Cache events after `cache_sequence` have not been read yet. `marks` has the
    quarantine marks of each piece of running work; `leaving` says that the
    engine announced that its VM is being reclaimed. `allowance` takes a time
    and a bound, and returns how many concurrent requests the owner's shares
    allow then.
    """

    name: str
    warmth: Warmth
    ledger: EngineLedger
    restart: str = ''
    cache_sequence: int = 0
    leaving: bool = False
    marks: dict[str, frozenset[str]] = field(default_factory=dict)
    allowance: Callable[[float, int], int] = unrestricted

    def bound(self, now: float) -> int:
        """Return the capacity of the endpoint now, in concurrent requests."""
        before = self.warmth.sign
        allowance = partial(self.allowance, now)
        bound = self.warmth.bound(now, len(self.ledger.grants), allowance)
        if self.warmth.sign is not before:
            self.log_cold()
        return bound

    def log_cold(self) -> None:
        """Log why the endpoint is considered cold."""
        log_event(
            Event.ENDPOINT_COLD,
            endpoint=self.name,
            message=self.warmth.sign.value,
        )

    def mark_cold(self, sign: ColdSign) -> None:
        """Consider the endpoint cold from now on."""
        if self.warmth.sign is not sign or self.warmth.evidence:
            self.warmth.mark_cold(sign)
            self.log_cold()

    def forecast_input(
        self, request: PermitRequest, lengths: LengthModel
    ) -> RunningGeneration:
        """Return the forecast's input for a requested generation."""
        table = lengths.lengths(
            request.product, request.workspace, max(request.max_tokens, 1)
        )
        return RunningGeneration(
            request.prompt_tokens, 0, max(request.max_tokens, 1), table
        )

    def deferral_of(
        self, work: RunningGeneration, route: Route, now: float
    ) -> Deferral | None:
        """Return why more work must wait; None when it is admitted."""
        return self.ledger.decide(
            work,
            self.bound(now),
            route.tail_weight,
            now,
            urgent=route.priority == 0,
        )

    def admit(
        self, request: PermitRequest, work: RunningGeneration, now: float
    ) -> None:
        """Count a piece of work whose permit is granted."""
        if not self.ledger.grants:
            self.warmth.observe_progress(now)
        self.ledger.grant(request.work, work, now)
        self.marks[request.work] = frozenset(request.marks)

    def settle(self, release: PermitRelease, now: float) -> None:
        """Count the end of a piece of work.

        Its tokens were counted as evidence of warmth when they were relayed.
        """
        if release.healthy:
            concurrency = max(len(self.ledger.grants), 1)
            if not release.tokens:
                self.warmth.observe_call(now, concurrency)
            if release.first_token_seconds:
                self.warmth.observe_first_token(
                    now, release.first_token_seconds
                )
        self.ledger.record_end(release.work)
        self.marks.pop(release.work, None)

    def observe_load(self, load: EngineLoad, now: float) -> bool:
        """Apply a load report; return whether the engine had restarted."""
        restarted = self.restart not in {'', load.restart}
        self.restart = load.restart
        self.leaving = load.leaving
        self.warmth.observe_identity(load.restart, load.version)
        if load.running:
            self.warmth.observe_progress(now - load.age_seconds)
        self.ledger.observe_report(
            LoadReport(
                now - load.age_seconds,
                load.resident_tokens,
                frozenset(load.generations),
                load.preemptions,
            ),
            now,
        )
        if not restarted:
            self.prune_marks()
        return restarted

    def prune_marks(self) -> None:
        """Drop the marks of work that the ledger no longer counts."""
        ended = self.marks.keys() - self.ledger.grants.keys()
        for work in ended:
            self.marks.pop(work)

    def take_in_flight(self) -> tuple[frozenset[str], ...]:
        """Return the marks of all running work and forget the work."""
        in_flight = tuple(self.marks.values())
        self.marks.clear()
        for work in list(self.ledger.grants):
            self.ledger.record_end(work)
        return in_flight

    def load(self, now: float) -> EndpointLoad:
        """Return the load that is sent to other nodes."""
        return EndpointLoad(
            self.bound(now),
            len(self.ledger.grants),
            self.ledger.headroom(now, 0.5),  # noqa: WPS432  neutral weight
        )


def create_endpoint_state(name: str, pool: Pool) -> EndpointState:
    """Return the state of an endpoint of which nothing is known."""
    return EndpointState(
        name,
        create_warmth(pool.cold_limit, pool.limit),
        create_engine_ledger(
            pool.memory_tokens or UNLIMITED_TOKENS, pool.limit
        ),
    )

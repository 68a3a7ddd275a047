"""What the owner of an engine keeps of it, from the product's decisions."""

from dataclasses import dataclass, field

from turmericyard_bench.experiments.policy import EngineView, Progress
from turmericyard_decisions.admission import (
    Deferral,
    EngineLedger,
    LoadReport,
    create_engine_ledger,
)
from turmericyard_decisions.memory import RunningGeneration
from turmericyard_decisions.pace import (
    STALL_SECONDS,
    PaceSample,
    record_pace_sample,
)
from turmericyard_decisions.warmth import ColdSign, Warmth, create_warmth

HOLD_OFF_SECONDS = 1.0
UNKNOWN_MEMORY_SHARE = 0.9


@dataclass(slots=True)
class EngineState:
    """Ledger and warmth of one engine.

    With `corrected` off only the lagged report counts; with `forecast` off
    memory is not looked at; with `guarded` off it is always taken as warm;
    with `relayed` off the tokens that nodes relay count only at their end.
    """

    ledger: EngineLedger
    warmth: Warmth
    corrected: bool = True
    forecast: bool = True
    guarded: bool = True
    relayed: bool = True
    in_service: bool = True
    refused_until: float = 0
    progress: dict[str, Progress] = field(default_factory=dict)
    reported_running: int = 0
    reported_tokens: int = 0

    def running(self) -> int:
        """Return the jobs that the engine is taken to run."""
        return (
            len(self.ledger.grants)
            if self.corrected
            else (self.reported_running)
        )

    def headroom(self, now: float, tail_weight: float) -> float:
        """Return the free memory in tokens, predicted or reported."""
        if self.corrected and self.forecast:
            return self.ledger.headroom(now, tail_weight)
        return self.ledger.memory_tokens - self.reported_tokens

    def capacity(self, now: float) -> int:
        """Return the warm bound."""
        if not self.guarded:
            return self.ledger.limit
        return self.warmth.bound(now, self.running())

    def decide(
        self,
        work: RunningGeneration,
        tail_weight: float,
        now: float,
        *,
        urgent: bool,
    ) -> Deferral | None:
        """Return why the engine can't take the work now, if so."""
        capacity = self.capacity(now)
        if self.corrected and self.forecast:
            return self.ledger.decide(
                work,
                capacity,
                tail_weight,
                now,
                urgent=urgent,
            )
        if self.running() >= capacity:
            return Deferral.WARM_BOUND
        if not self.forecast:
            return None
        peak = self.reported_tokens + work.prompt_tokens + work.lengths.mean()
        room = self.ledger.memory_tokens * UNKNOWN_MEMORY_SHARE
        return Deferral.MEMORY if peak > room else None

    def grant(self, name: str, work: RunningGeneration, now: float) -> None:
        """Count a job that is sent now."""
        self.ledger.grant(name, work, now)
        self.progress[name] = Progress(0, now)

    def release(self, name: str) -> None:
        """Forget a job that didn't run to its end."""
        self.ledger.record_end(name)
        self.progress.pop(name, None)

    def complete(self, name: str, tokens: int, now: float) -> None:
        """Count a job that ran to its end as evidence."""
        known = self.progress.get(name, Progress(0, now))
        self.warmth.observe_tokens(now, tokens - known.tokens, self.running())
        self.release(name)

    def hold_off(self, sign: ColdSign, now: float) -> None:
        """Send nothing for a moment and take the engine as cold."""
        self.warmth.mark_cold(sign)
        self.refused_until = now + HOLD_OFF_SECONDS

    def observe_first_token(self, name: str, now: float) -> None:
        """Take the time to first token of a job."""
        grant = self.ledger.grants.get(name)
        if grant:
            self.warmth.observe_first_token(now, now - grant.granted_at)

    def observe(self, view: EngineView, now: float) -> None:
        """Take a lagged report and the tokens relayed since the last one."""
        if view.in_service and not self.in_service:
            self.warmth.mark_cold(ColdSign.RETURNED)
        self.in_service = view.in_service
        self.reported_running = view.report.running + view.report.waiting
        self.reported_tokens = view.report.resident_tokens
        self.observe_identity(view)
        if self.relayed:
            self.observe_progress(view, now)
        elif view.report.running:
            self.warmth.observe_progress(view.report.taken_at)
        report = LoadReport(
            view.report.taken_at,
            view.report.resident_tokens,
            frozenset(view.report.generations),
            view.report.preemptions,
        )
        self.ledger.observe_report(report, now)

    def observe_identity(self, view: EngineView) -> None:
        """Compare the restart id with the one of the last report."""
        if self.warmth.identity[0] != view.report.restart:
            first = not self.warmth.identity[0]
            evidence = tuple(self.warmth.evidence)
            self.warmth.observe_identity(view.report.restart, '')
            if first:
                self.warmth.evidence.extend(evidence)

    def observe_progress(self, view: EngineView, now: float) -> None:
        """Count relayed tokens as evidence and compare their pace."""
        sample = PaceSample()
        for name, seen in view.progress.items():
            known = self.progress.get(name)
            if known is None or seen.tokens <= known.tokens:
                continue
            sample = sample.plus(sample_between(known, seen))
            self.progress[name] = seen
        record_pace_sample(self.warmth, sample, len(self.ledger.grants), now)
        pace = sample.seconds_per_token()
        if pace:
            self.ledger.observe_pace(pace)


def sample_between(known: Progress, seen: Progress) -> PaceSample:
    """Return the sample of one stream between two looks at it."""
    tokens = seen.tokens - known.tokens
    elapsed = seen.last_at - known.last_at
    if not known.tokens or elapsed > tokens * STALL_SECONDS:
        return PaceSample(tokens)
    return PaceSample(tokens, tokens, elapsed)


def create_engine_state(
    cold_limit: int,
    limit: int,
    memory_tokens: int,
) -> EngineState:
    """Return the state of an engine of which nothing is known."""
    return EngineState(
        create_engine_ledger(memory_tokens, limit),
        create_warmth(cold_limit, limit),
    )

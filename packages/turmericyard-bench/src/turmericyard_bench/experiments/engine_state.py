"""State that an engine's owner keeps, built from the product's decisions."""

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

BACK_OFF_SECONDS = 1.0
USABLE_MEMORY_SHARE = 0.9


@dataclass(slots=True)
class EngineState:
    """Ledger and warmth of one engine.

    Without `corrects_load` only the lagged report counts. Without
    `forecasts_memory` memory is ignored. Without `limits_cold_load` the engine
    is always treated as warm. Without `uses_relayed_progress` the tokens that
    nodes relay count only when the job is complete.
    """

    ledger: EngineLedger
    warmth: Warmth
    corrects_load: bool = True
    forecasts_memory: bool = True
    limits_cold_load: bool = True
    uses_relayed_progress: bool = True
    in_service: bool = True
    back_off_until: float = 0
    progress: dict[str, Progress] = field(default_factory=dict)
    reported_running: int = 0
    reported_tokens: int = 0

    def running(self) -> int:
        """Return how many jobs the engine is assumed to run."""
        return (
            len(self.ledger.grants)
            if self.corrects_load
            else self.reported_running
        )

    def headroom(self, now: float, tail_weight: float) -> float:
        """Return the free memory in tokens, predicted or reported."""
        if self.corrects_load and self.forecasts_memory:
            return self.ledger.headroom(now, tail_weight)
        return self.ledger.memory_tokens - self.reported_tokens

    def capacity(self, now: float) -> int:
        """Return how many jobs the engine can run in its state of warmth."""
        if not self.limits_cold_load:
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
        """Return why the engine cannot take the work now, or None if it can."""
        capacity = self.capacity(now)
        if self.corrects_load and self.forecasts_memory:
            return self.ledger.decide(
                work,
                capacity,
                tail_weight,
                now,
                urgent=urgent,
            )
        if self.running() >= capacity:
            return Deferral.WARM_BOUND
        if not self.forecasts_memory:
            return None
        peak = self.reported_tokens + work.prompt_tokens + work.lengths.mean()
        room = self.ledger.memory_tokens * USABLE_MEMORY_SHARE
        return Deferral.MEMORY if peak > room else None

    def grant(self, name: str, work: RunningGeneration, now: float) -> None:
        """Record a job that is sent now."""
        self.ledger.grant(name, work, now)
        self.progress[name] = Progress(0, now)

    def release(self, name: str) -> None:
        """Forget a job that is no longer at the engine."""
        self.ledger.record_end(name)
        self.progress.pop(name, None)

    def complete(self, name: str, tokens: int, now: float) -> None:
        """Count the tokens of a completed job as evidence of warmth."""
        previous = self.progress.get(name, Progress(0, now))
        self.warmth.observe_tokens(
            now, tokens - previous.tokens, self.running()
        )
        self.release(name)

    def back_off(self, sign: ColdSign, now: float) -> None:
        """Send nothing for the back-off time and treat the engine as cold."""
        self.warmth.mark_cold(sign)
        self.back_off_until = now + BACK_OFF_SECONDS

    def observe_first_token(self, name: str, now: float) -> None:
        """Record the time to first token of a job."""
        grant = self.ledger.grants.get(name)
        if grant:
            self.warmth.observe_first_token(now, now - grant.granted_at)

    def observe(self, view: EngineView, now: float) -> None:
        """Record a lagged report and the tokens relayed since the last one."""
        if view.in_service and not self.in_service:
            self.warmth.mark_cold(ColdSign.RETURNED)
        self.in_service = view.in_service
        self.reported_running = view.report.running + view.report.waiting
        self.reported_tokens = view.report.resident_tokens
        self.observe_identity(view)
        if self.uses_relayed_progress:
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
        """Compare the restart id with that of the last report.

        The first report keeps the evidence, since it shows no restart.
        """
        if self.warmth.identity[0] != view.report.restart:
            first_report = not self.warmth.identity[0]
            evidence = tuple(self.warmth.evidence)
            self.warmth.observe_identity(view.report.restart, '')
            if first_report:
                self.warmth.evidence.extend(evidence)

    def observe_progress(self, view: EngineView, now: float) -> None:
        """Count relayed tokens as evidence and record their pace."""
        sample = PaceSample()
        for name, current in view.progress.items():
            previous = self.progress.get(name)
            if previous is None or current.tokens <= previous.tokens:
                continue
            sample = sample.plus(sample_between(previous, current))
            self.progress[name] = current
        record_pace_sample(self.warmth, sample, len(self.ledger.grants), now)
        pace = sample.seconds_per_token()
        if pace:
            self.ledger.observe_pace(pace)


def sample_between(previous: Progress, current: Progress) -> PaceSample:
    """Return the pace sample of one stream between two observations.

    It has no time before the first token or across a stall.
    """
    tokens = current.tokens - previous.tokens
    elapsed = current.last_token_at - previous.last_token_at
    if not previous.tokens or elapsed > tokens * STALL_SECONDS:
        return PaceSample(tokens)
    return PaceSample(tokens, tokens, elapsed)


def create_engine_state(
    cold_limit: int,
    limit: int,
    memory_tokens: int,
) -> EngineState:
    """Return the state of an engine about which nothing is known yet."""
    return EngineState(
        create_engine_ledger(memory_tokens, limit),
        create_warmth(cold_limit, limit),
    )

"""The product's own policy, put together from its decision modules."""

from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field
from functools import partial

from turmericyard_bench.experiments.engine_state import EngineState
from turmericyard_bench.experiments.mechanisms import Mechanisms
from turmericyard_bench.experiments.policy import EngineView
from turmericyard_bench.experiments.workload import Deployment, Job
from turmericyard_decisions.admission import Deferral
from turmericyard_decisions.fair_queue import FairQueue, QueueEntry
from turmericyard_decisions.length import (
    LengthDistribution,
    LengthModel,
    prior_lengths,
)
from turmericyard_decisions.load_shedding import ServiceRate, Shed, check_wait
from turmericyard_decisions.memory import RunningGeneration
from turmericyard_decisions.placement import (
    Candidate,
    Demand,
    Obstacle,
    choose_endpoint,
)
from turmericyard_decisions.prefix_index import (
    CacheEvent,
    CacheEventKind,
    PrefixIndex,
)
from turmericyard_decisions.warmth import ColdSign

OBSTACLES = {
    Deferral.WARM_BOUND: Obstacle.NO_CAPACITY,
    Deferral.BATCH: Obstacle.NO_CAPACITY,
    Deferral.MEMORY: Obstacle.NO_MEMORY,
}

UNBOUNDED = 1_000_000


@dataclass(slots=True)
class Waiting:
    """A job in the queue with its entry and predicted length."""

    job: Job
    entry: QueueEntry
    lengths: LengthDistribution


@dataclass(slots=True)
class ProductPolicy:
    """Queues, admits and places jobs with the product's decisions."""

    deployment: Deployment
    engines: dict[str, EngineState]
    mechanisms: Mechanisms
    tail_weight: float
    lengths: LengthModel = field(default_factory=LengthModel)
    queue: FairQueue = field(default_factory=FairQueue)
    prefixes: PrefixIndex = field(default_factory=PrefixIndex)
    cache_sequence: dict[str, int] = field(default_factory=dict)
    rate: ServiceRate = field(default_factory=ServiceRate)
    waiting: dict[str, Waiting] = field(default_factory=dict)
    sent: dict[str, Waiting] = field(default_factory=dict)
    refusals: list[Job] = field(default_factory=list)
    settled: bool = False
    choice: str = ''

    def arrive(self, job: Job, now: float) -> None:
        """Queue a job, or shed it when it can't meet its deadline."""
        waiting = self.describe(job)
        if self.mechanisms.shedding:
            verdict = check_wait(
                self.queue.tokens_ahead(waiting.entry),
                self.rate.per_second(now) if len(self.queue) else None,
                now,
                waiting.entry.deadline_at,
            )
            if isinstance(verdict, Shed):
                self.refusals.append(job)
                return
        self.enqueue(waiting)

    def describe(self, job: Job) -> Waiting:
        """Return the job with its prediction."""
        lengths = self.predict(job)
        fair = self.mechanisms.fair_queue
        entry = QueueEntry(
            job.name,
            job.product.name if fair else '',
            job.workspace if fair else '',
            job.product.priority if self.mechanisms.priorities else 1,
            lengths.mean(),
            job.arrives_at,
            job.arrives_at + job.product.deadline_seconds,
        )
        return Waiting(job, entry, lengths)

    def predict(self, job: Job) -> LengthDistribution:
        """Return the predicted lengths of a job's output."""
        if not self.mechanisms.learned_lengths:
            return prior_lengths(job.product.max_tokens)
        return self.lengths.lengths(
            job.product.name,
            job.workspace,
            job.product.max_tokens,
        )

    def enqueue(self, waiting: Waiting) -> None:
        """Put a job into the fair queue."""
        self.waiting[waiting.job.name] = waiting
        self.queue.push(waiting.entry)
        self.settled = False

    def observe(self, views: Mapping[str, EngineView], now: float) -> None:
        """Take the engines' reports and what the nodes relayed."""
        for name, view in views.items():
            self.engines[name].observe(view, now)
            self.observe_cache(name, view, now)
        for entry in self.queue.pop_expired(now):
            self.refusals.append(self.waiting.pop(entry.request_id).job)
        self.settled = False

    def observe_cache(self, name: str, view: EngineView, now: float) -> None:
        """Take the published cache events."""
        after = self.cache_sequence.get(name, 0)
        events = view.model.cache.events_after(after, now)
        if events:
            self.cache_sequence[name] = events[-1].sequence
            hints = (
                CacheEvent(
                    event.sequence,
                    CacheEventKind(event.kind),
                    str(event.prefix),
                )
                for event in events
            )
            self.prefixes.observe(name, hints, now)

    def next_dispatch(self, now: float) -> tuple[Job, str] | None:
        """Return the next job and its engine, None when none can go."""
        if self.settled:
            return None
        blocked: set[tuple[str, int]] = set()
        entry = self.queue.pop(partial(self.eligible, blocked, now))
        if entry is None:
            self.settled = True
            return None
        return self.send(self.waiting.pop(entry.request_id), now)

    def eligible(
        self,
        blocked: set[tuple[str, int]],
        now: float,
        entry: QueueEntry,
    ) -> bool:
        """Return whether an entry can go, noting its engine if so.

        Once the first of a product can't go, those behind it wait too: else
        small requests would starve a large one.
        """
        kind = (entry.product, entry.priority)
        if kind in blocked:
            return False
        chosen = self.place(self.waiting[entry.request_id], now)
        if chosen is None:
            blocked.add(kind)
            return False
        self.choice = chosen
        return True

    def send(self, waiting: Waiting, now: float) -> tuple[Job, str]:
        """Grant the job at the chosen engine."""
        job = waiting.job
        self.sent[job.name] = waiting
        self.engines[self.choice].grant(job.name, self.running(waiting), now)
        self.rate.observe(now, waiting.entry.expected_tokens)
        if job.prefix:
            prefix = str(job.prefix[0])
            self.prefixes.observe_sent(self.choice, prefix, now)
        return job, self.choice

    def running(self, waiting: Waiting) -> RunningGeneration:
        """Return the job as the engine will hold it."""
        job = waiting.job
        return RunningGeneration(
            job.prompt_tokens,
            0,
            job.product.max_tokens,
            waiting.lengths,
        )

    def place(self, waiting: Waiting, now: float) -> str | None:
        """Return the engine for a job, None when it must wait."""
        job = waiting.job
        candidates = [
            self.candidate(name, waiting, now) for name in self.engines
        ]
        demand = Demand(
            self.deployment.zones[0],
            job.prompt_tokens,
            waiting.entry.expected_tokens,
            self.tail_weight,
            is_urgent(waiting, self.mechanisms),
        )
        return choose_endpoint(candidates, demand).endpoint

    def candidate(self, name: str, waiting: Waiting, now: float) -> Candidate:
        """Return what the engine's owner tells of it for a job."""
        engine = self.engines[name]
        job = waiting.job
        hinted = (
            self.mechanisms.prefix_hints
            and bool(job.prefix)
            and self.prefixes.holds(name, str(job.prefix[0]), now)
        )
        late = self.mechanisms.late_binding
        headroom = engine.headroom(now, self.tail_weight)
        return Candidate(
            name,
            self.deployment.zones[0],
            engine.ledger.limit if late else UNBOUNDED,
            engine.running(),
            engine.ledger.memory_tokens,
            headroom if late else max(headroom, job.prompt_tokens),
            job.product.shared_prompt_tokens if hinted else 0,
            self.obstacle(engine, waiting, now),
        )

    def obstacle(
        self,
        engine: EngineState,
        waiting: Waiting,
        now: float,
    ) -> Obstacle | None:
        """Return why the engine can't take the job, if so."""
        if not engine.in_service:
            return Obstacle.OUT_OF_SERVICE
        if now < engine.refused_until:
            return Obstacle.STALE
        if not self.mechanisms.late_binding:
            return None
        deferral = engine.decide(
            self.running(waiting),
            self.tail_weight,
            now,
            urgent=is_urgent(waiting, self.mechanisms),
        )
        return OBSTACLES[deferral] if deferral else None

    def shed(self, now: float) -> Iterable[Job]:
        """Return the jobs refused since the last call."""
        refused = self.refusals
        self.refusals = []
        return refused

    def refused(self, job: Job, engine: str, now: float) -> None:
        """Return a job, which the engine refused, to the front."""
        waiting = self.sent.pop(job.name)
        self.engines[engine].release(job.name)
        self.engines[engine].hold_off(ColdSign.REFUSED, now)
        self.waiting[job.name] = waiting
        self.queue.requeue(waiting.entry)
        self.settled = False

    def first_token(self, job: Job, engine: str, now: float) -> None:
        """Compare the time to first token with the usual one."""
        self.engines[engine].observe_first_token(job.name, now)

    def done(self, job: Job, engine: str, tokens: int, now: float) -> None:
        """Learn the length, release the memory, correct the charge."""
        waiting = self.sent.pop(job.name)
        self.engines[engine].complete(job.name, tokens, now)
        self.lengths.observe(job.product.name, job.workspace, tokens)
        self.queue.correct_charge(waiting.entry, tokens)
        self.settled = False

    def crashed(self, engine: str, jobs: list[Job], now: float) -> None:
        """Queue the jobs of a dead engine anew."""
        self.engines[engine].hold_off(ColdSign.RESTARTED, now)
        for job in jobs:
            self.engines[engine].release(job.name)
            self.enqueue(self.sent.pop(job.name))


def is_urgent(waiting: Waiting, mechanisms: Mechanisms) -> bool:
    """Return whether the job may use what the rest keeps free."""
    return mechanisms.urgent_reserve and waiting.entry.priority == 0

"""The product's policy, composed of its decision modules."""

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

UNBOUNDED_JOBS = 1_000_000


@dataclass(slots=True)
class QueuedJob:
    """A job with its queue entry and predicted output lengths."""

    job: Job
    entry: QueueEntry
    lengths: LengthDistribution


@dataclass(slots=True)
class ProductPolicy:
    """Queues, admits and places jobs with the product's decision code.

    `idle_until_change` says that no queued job can be sent before the next
    report, arrival or release of capacity.
    """

    deployment: Deployment
    engines: dict[str, EngineState]
    mechanisms: Mechanisms
    tail_weight: float
    length_model: LengthModel = field(default_factory=LengthModel)
    queue: FairQueue = field(default_factory=FairQueue)
    prefixes: PrefixIndex = field(default_factory=PrefixIndex)
    last_cache_sequence: dict[str, int] = field(default_factory=dict)
    service_rate: ServiceRate = field(default_factory=ServiceRate)
    queued_jobs: dict[str, QueuedJob] = field(default_factory=dict)
    sent_jobs: dict[str, QueuedJob] = field(default_factory=dict)
    shed_jobs: list[Job] = field(default_factory=list)
    idle_until_change: bool = False
    chosen_engine: str = ''

    def add_job(self, job: Job, now: float) -> None:
        """Queue a job, or shed it when it cannot meet its deadline."""
        queued = self.create_queued_job(job)
        if self.mechanisms.shedding:
            verdict = check_wait(
                self.queue.tokens_ahead(queued.entry),
                self.service_rate.per_second(now) if len(self.queue) else None,
                now,
                queued.entry.deadline_at,
            )
            if isinstance(verdict, Shed):
                self.shed_jobs.append(job)
                return
        self.enqueue(queued)

    def create_queued_job(self, job: Job) -> QueuedJob:
        """Return the job with its queue entry and predicted lengths."""
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
        return QueuedJob(job, entry, lengths)

    def predict(self, job: Job) -> LengthDistribution:
        """Return the predicted lengths of a job's output."""
        if not self.mechanisms.learned_lengths:
            return prior_lengths(job.product.max_tokens)
        return self.length_model.lengths(
            job.product.name,
            job.workspace,
            job.product.max_tokens,
        )

    def enqueue(self, queued: QueuedJob) -> None:
        """Put a job into the fair queue."""
        self.queued_jobs[queued.job.name] = queued
        self.queue.push(queued.entry)
        self.idle_until_change = False

    def observe(self, views: Mapping[str, EngineView], now: float) -> None:
        """Record the engines' reports and the progress that nodes relayed."""
        for name, view in views.items():
            self.engines[name].observe(view, now)
            self.observe_cache(name, view, now)
        for entry in self.queue.pop_expired(now):
            self.shed_jobs.append(self.queued_jobs.pop(entry.request_id).job)
        self.idle_until_change = False

    def observe_cache(self, name: str, view: EngineView, now: float) -> None:
        """Record the cache events published since the last call."""
        last_sequence = self.last_cache_sequence.get(name, 0)
        events = view.model.cache.events_after(last_sequence, now)
        if events:
            self.last_cache_sequence[name] = events[-1].sequence
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
        """Return the next job and its engine, None when none can be sent."""
        if self.idle_until_change:
            return None
        blocked: set[tuple[str, int]] = set()
        entry = self.queue.pop(partial(self.can_dispatch, blocked, now))
        if entry is None:
            self.idle_until_change = True
            return None
        return self.send(self.queued_jobs.pop(entry.request_id), now)

    def can_dispatch(
        self,
        blocked: set[tuple[str, int]],
        now: float,
        entry: QueueEntry,
    ) -> bool:
        """Return whether a job can be sent; store its engine if so.

        When the first job of a product and priority cannot be sent, those
        behind it wait too: otherwise small requests would starve a large one.
        """
        kind = (entry.product, entry.priority)
        if kind in blocked:
            return False
        chosen = self.choose_engine(self.queued_jobs[entry.request_id], now)
        if chosen is None:
            blocked.add(kind)
            return False
        self.chosen_engine = chosen
        return True

    def send(self, queued: QueuedJob, now: float) -> tuple[Job, str]:
        """Record the job as sent to the chosen engine and return both."""
        job = queued.job
        self.sent_jobs[job.name] = queued
        self.engines[self.chosen_engine].grant(
            job.name, self.running_work(queued), now
        )
        self.service_rate.observe(now, queued.entry.expected_tokens)
        if job.prefix:
            prefix = str(job.prefix[0])
            self.prefixes.observe_sent(self.chosen_engine, prefix, now)
        return job, self.chosen_engine

    def running_work(self, queued: QueuedJob) -> RunningGeneration:
        """Return the job as the engine's ledger counts it."""
        job = queued.job
        return RunningGeneration(
            job.prompt_tokens,
            0,
            job.product.max_tokens,
            queued.lengths,
        )

    def choose_engine(self, queued: QueuedJob, now: float) -> str | None:
        """Return the engine for a job, None when the job must wait."""
        job = queued.job
        candidates = [
            self.create_candidate(name, queued, now) for name in self.engines
        ]
        demand = Demand(
            self.deployment.zones[0],
            job.prompt_tokens,
            queued.entry.expected_tokens,
            self.tail_weight,
            is_urgent(queued, self.mechanisms),
        )
        return choose_endpoint(candidates, demand).endpoint

    def create_candidate(
        self, name: str, queued: QueuedJob, now: float
    ) -> Candidate:
        """Return the engine as a placement candidate for a job."""
        engine = self.engines[name]
        job = queued.job
        hinted = (
            self.mechanisms.prefix_hints
            and bool(job.prefix)
            and self.prefixes.holds(name, str(job.prefix[0]), now)
        )
        binds_late = self.mechanisms.late_binding
        headroom = engine.headroom(now, self.tail_weight)
        return Candidate(
            name,
            self.deployment.zones[0],
            engine.ledger.limit if binds_late else UNBOUNDED_JOBS,
            engine.running(),
            engine.ledger.memory_tokens,
            headroom if binds_late else max(headroom, job.prompt_tokens),
            job.product.shared_prompt_tokens if hinted else 0,
            self.obstacle(engine, queued, now),
        )

    def obstacle(
        self,
        engine: EngineState,
        queued: QueuedJob,
        now: float,
    ) -> Obstacle | None:
        """Return why the engine cannot take the job, or None if it can."""
        if not engine.in_service:
            return Obstacle.OUT_OF_SERVICE
        if now < engine.back_off_until:
            return Obstacle.STALE
        if not self.mechanisms.late_binding:
            return None
        deferral = engine.decide(
            self.running_work(queued),
            self.tail_weight,
            now,
            urgent=is_urgent(queued, self.mechanisms),
        )
        return OBSTACLES[deferral] if deferral else None

    def take_shed_jobs(self, now: float) -> Iterable[Job]:
        """Return the jobs shed since the last call."""
        jobs = self.shed_jobs
        self.shed_jobs = []
        return jobs

    def record_refusal(self, job: Job, engine: str, now: float) -> None:
        """Put a refused job back at the front of the queue."""
        queued = self.sent_jobs.pop(job.name)
        self.engines[engine].release(job.name)
        self.engines[engine].back_off(ColdSign.REFUSED, now)
        self.queued_jobs[job.name] = queued
        self.queue.requeue(queued.entry)
        self.idle_until_change = False

    def record_first_token(self, job: Job, engine: str, now: float) -> None:
        """Record the time to first token as a sign of warmth."""
        self.engines[engine].observe_first_token(job.name, now)

    def record_completion(
        self, job: Job, engine: str, tokens: int, now: float
    ) -> None:
        """Learn the length, release the memory and correct the queue charge."""
        queued = self.sent_jobs.pop(job.name)
        self.engines[engine].complete(job.name, tokens, now)
        self.length_model.observe(job.product.name, job.workspace, tokens)
        self.queue.correct_charge(queued.entry, tokens)
        self.idle_until_change = False

    def record_crash(self, engine: str, jobs: list[Job], now: float) -> None:
        """Queue the jobs of a crashed engine again."""
        self.engines[engine].back_off(ColdSign.RESTARTED, now)
        for job in jobs:
            self.engines[engine].release(job.name)
            self.enqueue(self.sent_jobs.pop(job.name))


def is_urgent(queued: QueuedJob, mechanisms: Mechanisms) -> bool:
    """Return whether the job may use the reserve for urgent requests."""
    return mechanisms.urgent_reserve and queued.entry.priority == 0

"""Event loop that runs engine models and a policy on a virtual clock."""

import heapq
from collections.abc import Callable, Iterable
from dataclasses import dataclass
from functools import partial

from turmericyard_bench.engine.events import (
    Accepted,
    EngineCrashed,
    EngineEvent,
    GenerationDone,
    GenerationPreempted,
    TokenProduced,
)
from turmericyard_bench.engine.model import EngineModel
from turmericyard_bench.engine.shape import EngineShape, GenerationRequest
from turmericyard_bench.experiments.policy import EngineView, Policy, Progress
from turmericyard_bench.experiments.record import JobRecord, RunRecord
from turmericyard_bench.experiments.workload import Job

TICK_SECONDS = 0.1


@dataclass(slots=True)
class SimulatedEngine:
    """An engine model with its zone and whether it is in service."""

    model: EngineModel
    zone: str
    in_service: bool = True


Action = Callable[['Simulation', float], None]


class Simulation:
    """One run: jobs arrive, the policy sends them, the engines step."""

    def __init__(
        self,
        engines: dict[str, SimulatedEngine],
        policy: Policy,
        jobs: Iterable[Job],
        actions: Iterable[tuple[float, Action]] = (),
    ) -> None:
        self.engines = engines
        self.policy = policy
        self.record = RunRecord()
        self.steps: list[tuple[float, str]] = []
        self.next_step: dict[str, float] = {}
        self.timers: list[tuple[float, int, Action]] = []
        for at, action in actions:
            self.add_timer(at, action)
        for job in jobs:
            self.add_timer(job.arrives_at, partial(add_job, job))
        heapq.heapify(self.timers)

    def add_timer(self, at: float, action: Action) -> None:
        """Add an action to be run at a time, before the timers are a heap."""
        self.timers.append((at, len(self.timers), action))

    def run(self, until: float) -> RunRecord:
        """Run until a time (seconds) and return the record of the run."""
        next_tick_at: float = 0
        while True:
            step_at = self.steps[0][0] if self.steps else until
            timer_at = self.timers[0][0] if self.timers else until
            now = min(step_at, timer_at, next_tick_at)
            if now >= until:
                break
            if step_at == now:
                self.step(now)
            elif timer_at == now:
                heapq.heappop(self.timers)[2](self, now)
                self.dispatch(now)
            else:
                next_tick_at = now + TICK_SECONDS
                self.tick(now)
        self.finish(until)
        return self.record

    def finish(self, now: float) -> None:
        """Complete the record at the end of the run."""
        self.record.count_open_stalls(now)
        self.record.capacity_excesses = sum(
            len(engine.model.excesses) for engine in self.engines.values()
        )

    def tick(self, now: float) -> None:
        """Give the policy the lagged reports, then dispatch."""
        self.policy.observe(self.engine_views(now), now)
        self.dispatch(now)

    def engine_views(self, now: float) -> dict[str, EngineView]:
        """Return what the policy can observe of the engines."""
        return {
            name: EngineView(
                engine.zone,
                engine.in_service,
                engine.model.load_report(now),
                engine.model,
                self.progress(engine.model),
            )
            for name, engine in self.engines.items()
        }

    def progress(self, model: EngineModel) -> dict[str, Progress]:
        """Return the progress relayed from an engine, by running job."""
        records = (self.record.jobs[name] for name in model.batch.running)
        return {
            record.job.name: Progress(record.tokens, record.last_token_at)
            for record in records
        }

    def dispatch(self, now: float) -> None:
        """Record the jobs that the policy shed and send those that it chose."""
        for shed_job in self.policy.take_shed_jobs(now):
            self.record.jobs[shed_job.name].shed_at = now
        while True:
            decision = self.policy.next_dispatch(now)
            if decision is None:
                break
            job, name = decision
            self.send(job, name, now)

    def send(self, job: Job, name: str, now: float) -> None:
        """Submit a job to an engine; tell the policy when it is refused."""
        request = GenerationRequest(
            job.name,
            job.prompt_tokens,
            job.output_tokens,
            job.product.priority,
            job.prefix,
        )
        model = self.engines[name].model
        answer = model.submit(request, now)
        if not isinstance(answer, Accepted):
            self.record.refused_sends += 1
            self.policy.record_refusal(job, name, now)
            return
        record = self.record.jobs[job.name]
        record.engine = name
        record.sent_at = now
        self.schedule_step(name)

    def schedule_step(self, name: str) -> None:
        """Schedule the engine's next step."""
        at = self.engines[name].model.next_event_time()
        if at is not None and self.next_step.get(name) != at:
            self.next_step[name] = at
            heapq.heappush(self.steps, (at, name))

    def step(self, now: float) -> None:
        """Complete the step of one engine and handle its events."""
        _, name = heapq.heappop(self.steps)
        model = self.engines[name].model
        if model.next_event_time() != now:
            return
        events = model.step(now)
        released = False
        for event in events:
            if isinstance(event, TokenProduced):
                self.handle_token(event.generation, name, now)
            else:
                released = self.handle_event(event, name, now) or released
        self.schedule_step(name)
        if released:
            self.dispatch(now)

    def handle_token(self, generation: str, name: str, now: float) -> None:
        """Record a token; tell the policy when it is a job's first."""
        if self.record.record_token(generation, now):
            job = self.record.jobs[generation].job
            self.policy.record_first_token(job, name, now)

    def handle_event(self, event: EngineEvent, name: str, now: float) -> bool:
        """Record an event; return whether it released capacity."""
        match event:
            case GenerationPreempted():
                self.record.record_preemption(now)
                return False
            case GenerationDone(generation, tokens):
                record = self.record.jobs[generation]
                record.done_at = now
                self.policy.record_completion(record.job, name, tokens, now)
            case EngineCrashed(_, generations):
                self.record.crashes += 1
                self.handle_crash(name, generations, now)
        return True

    def handle_crash(
        self,
        name: str,
        generations: tuple[str, ...],
        now: float,
    ) -> None:
        """Record the tokens lost in a crash; return the jobs to the policy."""
        records = [self.record.jobs[generation] for generation in generations]
        for interrupted in records:
            if interrupted.tokens:
                self.record.cut_generations += 1
            interrupted.lost_tokens += interrupted.tokens
            interrupted.tokens = 0
        self.policy.record_crash(name, [one.job for one in records], now)


def add_job(job: Job, simulation: 'Simulation', now: float) -> None:
    """Start the record of a job and add it to the policy."""
    simulation.record.jobs[job.name] = JobRecord(job)
    simulation.policy.add_job(job, now)


def create_engines(
    count: int,
    zones: tuple[str, ...],
    shape: EngineShape,
) -> dict[str, SimulatedEngine]:
    """Return warm engines distributed over the zones in turn."""
    return {
        f'e{number}': SimulatedEngine(
            EngineModel(shape, f'e{number}', warm=True),
            zones[number % len(zones)],
        )
        for number in range(count)
    }

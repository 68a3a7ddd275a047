"""Baseline policies: they send each job immediately, without a queue."""

from collections import deque
from collections.abc import Iterable
from random import Random

from turmericyard_bench.experiments.policy import EngineView
from turmericyard_bench.experiments.workload import Job

BASELINE_SEED = 1


class RoundRobin:
    """Sends to the engines in rotation."""

    def __init__(self) -> None:
        self.unsent: deque[Job] = deque()
        self.engines: list[str] = []
        self.outstanding: dict[str, int] = {}
        self.views: dict[str, EngineView] = {}
        self.blocked: set[str] = set()
        self.choices_made = 0

    def add_job(self, job: Job, now: float) -> None:
        """Add a new job."""
        self.unsent.append(job)

    def observe(self, views: dict[str, EngineView], now: float) -> None:
        """Store the engines' reports and retry engines that refused a job."""
        self.views = views
        self.engines = [name for name, view in views.items() if view.in_service]
        self.blocked.clear()

    def next_dispatch(self, now: float) -> tuple[Job, str] | None:
        """Return the oldest job and the engine whose turn it is."""
        available = [name for name in self.engines if name not in self.blocked]
        if not self.unsent or not available:
            return None
        name = self.choose(available)
        self.outstanding[name] = self.outstanding.get(name, 0) + 1
        return self.unsent.popleft(), name

    def choose(self, available: list[str]) -> str:
        """Return the engine to send to."""
        self.choices_made += 1
        return available[self.choices_made % len(available)]

    def take_shed_jobs(self, now: float) -> Iterable[Job]:
        """Return no jobs: a baseline sheds none."""
        return ()

    def record_refusal(self, job: Job, engine: str, now: float) -> None:
        """Keep the job for another engine; skip this one until a report."""
        self.blocked.add(engine)
        self.outstanding[engine] -= 1
        self.unsent.appendleft(job)

    def record_first_token(self, job: Job, engine: str, now: float) -> None:
        """Do nothing."""

    def record_completion(
        self, job: Job, engine: str, tokens: int, now: float
    ) -> None:
        """Decrease the engine's number of outstanding jobs."""
        self.outstanding[engine] -= 1

    def record_crash(self, engine: str, jobs: list[Job], now: float) -> None:
        """Resend the jobs of a crashed engine."""
        self.blocked.add(engine)
        self.outstanding[engine] = 0
        self.unsent.extend(jobs)


class LeastOutstanding(RoundRobin):
    """Sends to the engine with the fewest outstanding jobs."""

    def choose(self, available: list[str]) -> str:
        """Return the engine to send to."""
        return min(available, key=lambda name: self.outstanding.get(name, 0))


class PowerOfTwo(RoundRobin):
    """Sends to the less loaded of two random engines, by lagged reports."""

    def __init__(self) -> None:
        super().__init__()
        self.rng = Random(BASELINE_SEED)

    def choose(self, available: list[str]) -> str:
        """Return the engine to send to."""
        sample = self.rng.choices(available, k=2)
        return min(sample, key=self.reported_jobs)

    def reported_jobs(self, name: str) -> float:
        """Return the engine's running and waiting jobs by its last report."""
        report = self.views[name].report
        return report.running + report.waiting

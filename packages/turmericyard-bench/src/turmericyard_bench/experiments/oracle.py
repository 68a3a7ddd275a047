"""Upper bound: a policy that knows each length and each engine's state."""

from collections.abc import Mapping
from dataclasses import dataclass, field

from turmericyard_bench.engine.model import EngineModel
from turmericyard_bench.experiments.engine_state import EngineState
from turmericyard_bench.experiments.policy import EngineView
from turmericyard_bench.experiments.product_policy import (
    ProductPolicy,
    QueuedJob,
)
from turmericyard_bench.experiments.workload import Job
from turmericyard_decisions.length import LengthDistribution
from turmericyard_decisions.placement import Obstacle


@dataclass(slots=True)
class Oracle(ProductPolicy):
    """Admits a job when the engine's exact future peak fits its memory."""

    models: dict[str, EngineModel] = field(default_factory=dict)

    def observe(self, views: Mapping[str, EngineView], now: float) -> None:
        """Record the engine models together with their reports."""
        ProductPolicy.observe(self, views, now)
        for name, view in views.items():
            self.models[name] = view.model

    def predict(self, job: Job) -> LengthDistribution:
        """Return the output length that the job will have."""
        return LengthDistribution((float(job.output_tokens),))

    def obstacle(
        self,
        engine: EngineState,
        queued: QueuedJob,
        now: float,
    ) -> Obstacle | None:
        """Return why the engine cannot take the job, by its model's state."""
        name = next(
            key for key, state in self.engines.items() if state is engine
        )
        model = self.models.get(name)
        if model is None or not engine.in_service:
            return Obstacle.OUT_OF_SERVICE
        if now < model.unavailable_until:
            return Obstacle.STALE
        if len(model.batch) >= model.warmth.capacity:
            return Obstacle.NO_CAPACITY
        reserve = model.shape.watermark_blocks * model.shape.block_tokens
        if exact_peak(model, queued.job) + reserve > model.shape.memory_tokens:
            return Obstacle.NO_MEMORY if len(model.batch) else None
        return None


def exact_peak(model: EngineModel, job: Job) -> int:
    """Return the peak of resident tokens until all sequences and the job end.

    Each sequence is counted with one block more than it holds.
    """
    block = model.shape.block_tokens
    remaining_work = [(job.output_tokens, job.prompt_tokens + block)]
    for sequence in (*model.batch.running.values(), *model.batch.waiting):
        remaining = sequence.request.output_tokens - sequence.generated
        remaining_work.append((remaining, sequence.tokens + block))
    remaining_work.sort(reverse=True)
    peak = 0
    resident = 0
    for count, (remaining, tokens) in enumerate(remaining_work, start=1):
        resident += tokens
        peak = max(peak, resident + count * remaining)
    return peak

"""The limit: a policy that knows each length and each engine's state."""

from collections.abc import Mapping
from dataclasses import dataclass, field

from turmericyard_bench.engine.model import EngineModel
from turmericyard_bench.experiments.engine_state import EngineState
from turmericyard_bench.experiments.policy import EngineView
from turmericyard_bench.experiments.product_policy import (
    ProductPolicy,
    Waiting,
)
from turmericyard_bench.experiments.workload import Job
from turmericyard_decisions.length import LengthDistribution
from turmericyard_decisions.placement import Obstacle


@dataclass(slots=True)
class Oracle(ProductPolicy):
    """Admits while the exact future peak of each engine fits its memory."""

    models: dict[str, EngineModel] = field(default_factory=dict)

    def observe(self, views: Mapping[str, EngineView], now: float) -> None:
        """Take the engines themselves beside their reports."""
        ProductPolicy.observe(self, views, now)
        for name, view in views.items():
            self.models[name] = view.model

    def predict(self, job: Job) -> LengthDistribution:
        """Return the length that the job will have."""
        return LengthDistribution((float(job.output_tokens),))

    def obstacle(
        self,
        engine: EngineState,
        waiting: Waiting,
        now: float,
    ) -> Obstacle | None:
        """Return why the engine can't take the job, from its own state."""
        name = next(key for key, one in self.engines.items() if one is engine)
        model = self.models.get(name)
        if model is None or not engine.in_service:
            return Obstacle.OUT_OF_SERVICE
        if now < model.unavailable_until:
            return Obstacle.STALE
        if len(model.batch) >= model.warmth.capacity:
            return Obstacle.NO_CAPACITY
        spare = model.shape.watermark_blocks * model.shape.block_tokens
        if exact_peak(model, waiting.job) + spare > model.shape.memory_tokens:
            return Obstacle.NO_MEMORY if len(model.batch) else None
        return None


def exact_peak(model: EngineModel, job: Job) -> int:
    """Return the highest resident tokens until all end, with the job.

    Each sequence is counted with a block more than it holds.
    """
    block = model.shape.block_tokens
    works = [(job.output_tokens, job.prompt_tokens + block)]
    for sequence in (*model.batch.running.values(), *model.batch.waiting):
        left = sequence.request.output_tokens - sequence.generated
        works.append((left, sequence.tokens + block))
    works.sort(reverse=True)
    peak = 0
    held = 0
    for count, (left, tokens) in enumerate(works, start=1):
        held += tokens
        peak = max(peak, held + count * left)
    return peak

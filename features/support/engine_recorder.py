"""Drives an engine model on a virtual clock and keeps what it told."""

from collections import defaultdict

from turmericyard_bench.engine.events import (
    Accepted,
    EngineCrashed,
    GenerationDone,
    GenerationPreempted,
    TokenProduced,
)
from turmericyard_bench.engine.model import EngineModel
from turmericyard_bench.engine.shape import GenerationRequest


class Recorder:
    """Drives a model on a virtual clock and checks it after each step."""

    def __init__(self, model: EngineModel) -> None:
        self.model = model
        self.now = 0.0
        self.offsets = defaultdict(list)
        self.first = {}
        self.done = {}
        self.preempted = []
        self.crashes = []
        self.requests = {}

    def submit(self, generation, prompt, output, priority=1, **more):
        request = GenerationRequest(
            generation, prompt, output, priority, **more
        )
        answer = self.model.submit(request, self.now)
        if isinstance(answer, Accepted):
            self.requests[generation] = request
        return answer

    def advance(self, until: float) -> None:
        while True:
            at = self.model.next_event_time()
            if at is None or at > until:
                break
            assert at >= self.now
            self.now = at
            for event in self.model.step(at):
                self.note(event)
            self.check()
        self.now = max(self.now, until)

    def run_until_idle(self) -> None:
        while self.model.next_event_time() is not None:
            self.advance(self.model.next_event_time())

    def note(self, event) -> None:
        if isinstance(event, TokenProduced):
            self.offsets[event.generation].append(event.offset)
            self.first.setdefault(event.generation, self.now)
        elif isinstance(event, GenerationDone):
            self.done[event.generation] = event
        elif isinstance(event, GenerationPreempted):
            self.preempted.append(event.generation)
        elif isinstance(event, EngineCrashed):
            self.crashes.append(event)

    def check(self) -> None:
        batch = self.model.batch
        held = sum(run.blocks for run in batch.running.values())
        assert held + batch.allocator.free == batch.allocator.total
        assert len(batch.running) <= self.model.shape.limit
        for run in batch.running.values():
            assert batch.allocator.blocks_for(run.tokens) <= run.blocks
        assert not any(waiting.blocks for waiting in batch.waiting)

"""Engine model that its owner advances one step at a time."""

from turmericyard_bench.engine.batch import Batch, Sequence
from turmericyard_bench.engine.events import (
    Accepted,
    EngineCrashed,
    EngineEvent,
    GenerationDone,
    RefusalKind,
    Refused,
    Submission,
    TokenProduced,
)
from turmericyard_bench.engine.memory import BlockAllocator
from turmericyard_bench.engine.prefix_cache import PrefixCache
from turmericyard_bench.engine.reports import LoadHistory, LoadReport
from turmericyard_bench.engine.scheduler import StepScheduler
from turmericyard_bench.engine.shape import EngineShape, GenerationRequest
from turmericyard_bench.engine.warmth import ColdExcess, Warmth


class EngineModel:
    """Model of one engine.

    The owner calls `step` at `next_event_time()`, which returns the events of
    the step that ended then. All times are in seconds of the owner's clock and
    never decrease. An idle engine starts submitted work immediately, a busy
    one at the end of the current step.
    """

    def __init__(
        self,
        shape: EngineShape,
        name: str = 'engine',
        *,
        warm: bool = False,
        lag_seconds: float = 1,
    ) -> None:
        self.shape = shape
        self.name = name
        self.batch = Batch(
            BlockAllocator(shape.memory_tokens, shape.block_tokens)
        )
        self.cache = PrefixCache(shape.prefix_cache_tokens, lag_seconds)
        self.scheduler = StepScheduler(shape, self.batch, self.cache)
        self.warmth = Warmth(shape, warm=warm)
        self.excesses: list[ColdExcess] = []
        self.crash_pending = False
        self.start_count = 1
        self.submissions = 0
        self.stalls = 0
        self.stall_seconds: float = 0
        self.step_end: float | None = None
        self.unavailable_until: float = 0
        self.unavailable_kind = RefusalKind.DOWN
        self.history = LoadHistory(lag_seconds, self.current_load(0))

    @property
    def restart(self) -> str:
        """Return the id of this incarnation of the engine."""
        return f'{self.name}-{self.start_count}'

    def submit(self, request: GenerationRequest, now: float) -> Submission:
        """Queue a generation, or refuse it without starting anything."""
        refusal = self.refusal(request, now)
        if refusal is not None:
            return Refused(refusal)
        self.submissions += 1
        rank = (request.priority, self.submissions)
        self.batch.enqueue(Sequence(request, rank))
        excess = self.warmth.excess(len(self.batch), now)
        if excess is not None:
            self.excesses.append(excess)
            self.crash_pending = True
        if self.step_end is None:
            self.start_step(now)
        return Accepted(self.restart)

    def cancel(self, generation: str, now: float) -> bool:
        """Remove a generation; return whether it was unfinished."""
        return self.batch.remove(generation)

    def next_event_time(self) -> float | None:
        """Return the end time of the current step; None when idle."""
        return self.step_end

    def step(self, now: float) -> list[EngineEvent]:
        """End the current step if it is due, start the next; return events."""
        if self.step_end is None or now < self.step_end:
            return []
        if self.crash_pending:
            return self.crash(now)
        events = self.scheduler.take_events()
        if not self.finish_step(now, events):
            return self.crash(now)
        self.start_step(now)
        self.history.record(self.current_load(now))
        return events

    def crash(self, now: float) -> list[EngineEvent]:
        """Lose all generations, stay down for `down_seconds`, restart cold."""
        lost = self.batch.clear()
        self.scheduler.take_events()
        self.crash_pending = False
        self.step_end = None
        self.start_count += 1
        self.cache.clear(now)
        self.warmth.turn_cold(now, restarted=True)
        self.refuse_until(now + self.shape.down_seconds, RefusalKind.DOWN)
        self.history.record(self.current_load(now))
        return [EngineCrashed(self.restart, lost)]

    def turn_cold(self, now: float) -> None:
        """Become cold and clear the prefix cache without a restart."""
        self.cache.clear(now)
        self.warmth.turn_cold(now, restarted=False)

    def refuse_until(self, until: float, kind: RefusalKind) -> None:
        """Refuse new generations with `kind` until the given time."""
        self.unavailable_until = until
        self.unavailable_kind = kind

    def freeze(self, now: float, seconds: float) -> None:
        """Delay the end of the current step; no effect on an idle engine."""
        if self.step_end is not None:
            self.step_end = max(self.step_end, now) + seconds

    def load_report(self, now: float) -> LoadReport:
        """Return the published load report, delayed by the lag."""
        return self.history.published(now)

    def current_load(self, now: float) -> LoadReport:
        """Return the current load without lag."""
        return LoadReport(
            taken_at=now,
            restart=self.restart,
            running=len(self.batch.running),
            waiting=len(self.batch.waiting),
            resident_tokens=self.batch.resident_tokens(),
            memory_tokens=self.shape.memory_tokens,
            preemptions=self.scheduler.preemptions,
            stalls=self.stalls,
            stall_seconds=self.stall_seconds,
            generations=self.batch.generations(),
        )

    def refusal(
        self, request: GenerationRequest, now: float
    ) -> RefusalKind | None:
        """Return why a request is refused; None when it is accepted."""
        if now < self.unavailable_until:
            return self.unavailable_kind
        allocator = self.batch.allocator
        if allocator.blocks_for(request.prompt_tokens + 1) > allocator.total:
            return RefusalKind.TOO_LONG
        if len(self.batch.waiting) >= self.shape.queue_limit:
            return RefusalKind.OVERLOADED
        return None

    def start_step(self, now: float) -> None:
        """Start the next step; idle with no running sequence and no events."""
        seconds = self.scheduler.plan(now)
        if seconds is None:
            self.step_end = now if self.scheduler.events else None
        else:
            self.step_end = now + seconds * self.warmth.slowdown

    def finish_step(self, now: float, events: list[EngineEvent]) -> bool:
        """Produce the tokens of the step; return False when it crashes."""
        tokens = 0
        for sequence in tuple(self.batch.running.values()):
            if sequence.prefill_left:
                sequence.prefill_left -= sequence.chunk
                sequence.chunk = 0
                if sequence.prefill_left:
                    continue
                if sequence.request.poisonous:
                    return False
                self.end_prefill(sequence, now)
            self.produce_token(sequence, events)
            tokens += 1
        self.warmth.record_tokens(tokens)
        return True

    def end_prefill(self, sequence: Sequence, now: float) -> None:
        """Cache the prompt's prefix and record the end of a stall."""
        self.cache.store(sequence.request.prefix, now)
        if sequence.preempted_at is not None:
            self.stalls += 1
            self.stall_seconds += now - sequence.preempted_at
            sequence.preempted_at = None

    def produce_token(
        self, sequence: Sequence, events: list[EngineEvent]
    ) -> None:
        """Produce one token; end the generation after its last token."""
        request = sequence.request
        events.append(TokenProduced(request.generation, sequence.generated))
        sequence.generated += 1
        sequence.tokens += 1
        if sequence.generated >= request.output_tokens:
            self.batch.remove(request.generation)
            events.append(
                GenerationDone(request.generation, sequence.generated, 'stop')
            )

"""Continuous batching: selects the sequences of each engine step."""

from turmericyard_bench.engine.batch import Batch, Sequence
from turmericyard_bench.engine.events import (
    EngineEvent,
    GenerationDone,
    GenerationPreempted,
)
from turmericyard_bench.engine.prefix_cache import PrefixCache
from turmericyard_bench.engine.shape import EngineShape


class StepScheduler:
    """Plans the steps of an engine and collects the resulting events.

    `events` holds preemptions and generations that ended for lack of memory,
    until the owner takes them. `preemptions` counts since the process started.
    """

    def __init__(
        self, shape: EngineShape, batch: Batch, cache: PrefixCache
    ) -> None:
        self.shape = shape
        self.batch = batch
        self.cache = cache
        self.preemptions = 0
        self.events: list[EngineEvent] = []

    def take_events(self) -> list[EngineEvent]:
        """Return and clear the collected events."""
        taken = self.events
        self.events = []
        return taken

    def plan(self, now: float) -> float | None:
        """Choose the sequences of the next step; return its seconds when warm.

        Returns None when no sequence runs.
        """
        if self.allocate_next_tokens(now) or not self.batch.running:
            self.admit(now)
        if not self.batch.running:
            return None
        prefill = self.plan_prefill()
        decoding = sum(
            [
                not sequence.prefill_left
                for sequence in self.batch.running.values()
            ]
        )
        shape = self.shape
        return (
            shape.base_seconds
            + shape.sequence_seconds * decoding
            + shape.resident_token_seconds * self.batch.resident_tokens()
            + shape.prefill_token_seconds * prefill
        )

    def allocate_next_tokens(self, now: float) -> bool:
        """Allocate memory for the next token of each running sequence.

        Preempts the least urgent sequences when memory runs out; returns
        whether no preemption was needed.
        """
        allocator = self.batch.allocator
        enough = True
        block_size = allocator.block_tokens
        for sequence in tuple(self.batch.running.values()):
            if sequence.tokens < sequence.blocks * block_size:
                continue
            needed = allocator.blocks_for(sequence.tokens + 1)
            while sequence.blocks and needed > sequence.blocks:
                if allocator.allocate(1):
                    sequence.blocks += 1
                else:
                    enough = False
                    self.free_memory(now)
        return enough

    def free_memory(self, now: float) -> None:
        """Preempt the least urgent sequence, or end it when it runs alone."""
        victim = self.batch.least_urgent()
        if len(self.batch.running) > 1:
            self.preempt(victim, now)
            return
        generation = victim.request.generation
        self.batch.remove(generation)
        victim.blocks = 0
        self.events.append(
            GenerationDone(generation, victim.generated, 'length')
        )

    def preempt(self, sequence: Sequence, now: float) -> None:
        """Preempt one running sequence and add the event."""
        self.batch.preempt(sequence, now)
        self.preemptions += 1
        self.events.append(GenerationPreempted(sequence.request.generation))

    def admit(self, now: float) -> None:
        """Start waiting sequences in rank order while capacity is free."""
        while self.batch.waiting:
            first = self.batch.waiting[0]
            if self.has_room(first):
                self.start_sequence(first)
            elif self.outranks_a_running_one(first):
                self.preempt(self.batch.least_urgent(), now)
            else:
                break

    def has_room(self, sequence: Sequence) -> bool:
        """Return whether a waiting sequence can start now."""
        allocator = self.batch.allocator
        needed = allocator.blocks_for(sequence.tokens + 1)
        if not self.batch.running:
            return needed <= allocator.free
        return (
            len(self.batch.running) < self.shape.limit
            and needed + self.shape.watermark_blocks <= allocator.free
        )

    def outranks_a_running_one(self, sequence: Sequence) -> bool:
        """Return whether a running sequence is less urgent than this one."""
        preemptible = self.batch.least_urgent()
        return sequence.request.priority < preemptible.request.priority

    def start_sequence(self, sequence: Sequence) -> None:
        """Start a waiting sequence: allocate its memory, set its prefill."""
        blocks = self.batch.allocator.blocks_for(sequence.tokens + 1)
        self.batch.allocator.allocate(blocks)
        self.batch.start(sequence, blocks)
        cached = self.cache.cached_tokens(sequence.request.prefix)
        sequence.prefill_left = max(1, sequence.tokens - cached)

    def plan_prefill(self) -> int:
        """Distribute the prefill budget of the step; return tokens planned."""
        left = self.shape.prefill_tokens_per_step
        for sequence in self.batch.running.values():
            if sequence.prefill_left:
                sequence.chunk = min(left, sequence.prefill_left)
                left -= sequence.chunk
        return self.shape.prefill_tokens_per_step - left

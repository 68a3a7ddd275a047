"""Running and waiting sequences of an engine."""

from bisect import insort
from dataclasses import dataclass, field
from operator import attrgetter

from turmericyard_bench.engine.memory import BlockAllocator
from turmericyard_bench.engine.shape import GenerationRequest


@dataclass(slots=True)
class Sequence:
    """Progress of one generation.

    `rank` is (priority, arrival number); a lower rank is more urgent.
    `prefill_left` tokens must be computed before the next token is produced,
    `chunk` of them in the current step. `tokens` counts prompt and output
    tokens so far.
    """

    request: GenerationRequest
    rank: tuple[int, int]
    prefill_left: int = 0
    chunk: int = 0
    generated: int = 0
    blocks: int = 0
    preempted_at: float | None = None
    tokens: int = field(init=False)

    def __post_init__(self) -> None:
        """Initialise `tokens` with the prompt and the tokens generated."""
        self.tokens = self.request.prompt_tokens + self.generated


by_rank = attrgetter('rank')


class Batch:
    """The running and the waiting sequences and the memory they share."""

    def __init__(self, allocator: BlockAllocator) -> None:
        self.allocator = allocator
        self.running: dict[str, Sequence] = {}
        self.waiting: list[Sequence] = []

    def __len__(self) -> int:
        """Return the number of unfinished sequences."""
        return len(self.running) + len(self.waiting)

    def enqueue(self, sequence: Sequence) -> None:
        """Insert a sequence into the waiting queue in rank order."""
        insort(self.waiting, sequence, key=by_rank)

    def start(self, sequence: Sequence, blocks: int) -> None:
        """Move a waiting sequence to the running ones with its blocks."""
        self.waiting.remove(sequence)
        sequence.blocks = blocks
        self.running[sequence.request.generation] = sequence

    def remove(self, generation: str) -> bool:
        """Remove a sequence; return whether it was running or waiting."""
        sequence = self.running.pop(generation, None)
        if sequence is not None:
            self.allocator.release(sequence.blocks)
            return True
        for queued in self.waiting:
            if queued.request.generation == generation:
                self.waiting.remove(queued)
                return True
        return False

    def preempt(self, sequence: Sequence, now: float) -> None:
        """Release the memory of a running sequence and requeue it."""
        self.running.pop(sequence.request.generation)
        self.allocator.release(sequence.blocks)
        sequence.blocks = 0
        sequence.chunk = 0
        if sequence.generated:
            sequence.preempted_at = now
        self.enqueue(sequence)

    def least_urgent(self) -> Sequence:
        """Return the running sequence with the highest rank number."""
        return max(self.running.values(), key=by_rank)

    def clear(self) -> tuple[str, ...]:
        """Remove all sequences and return their generation ids."""
        generations = self.generations()
        for generation in generations:
            self.remove(generation)
        return generations

    def generations(self) -> tuple[str, ...]:
        """Return the generation ids of all unfinished sequences."""
        waiting = (queued.request.generation for queued in self.waiting)
        return (*self.running, *waiting)

    def resident_tokens(self) -> int:
        """Return the number of tokens that running sequences hold in memory."""
        return sum(
            [
                sequence.tokens - sequence.prefill_left
                for sequence in self.running.values()
            ]
        )

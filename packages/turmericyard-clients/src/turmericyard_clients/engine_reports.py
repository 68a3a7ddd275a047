"""Generation requests to engines and the reports of engines."""

from collections.abc import Sequence
from dataclasses import dataclass

import orjson
from pydantic import TypeAdapter


@dataclass(frozen=True, slots=True)
class GenerationStart:
    """A generation to start; priority 0 is the most urgent."""

    generation: str
    request: str
    model: str
    prompt: Sequence[int]
    max_tokens: int
    priority: int = 1
    adapter: str = ''


@dataclass(frozen=True, slots=True)
class EngineLoad:
    """The load report of an engine; its state `age_seconds` ago.

    `fencing` is the highest fencing number of the orders that it accepted;
    a `leaving` engine is about to be reclaimed.
    """

    restart: str
    age_seconds: float
    running: int
    waiting: int
    resident_tokens: int
    memory_tokens: int
    preemptions: int
    model: str
    version: str
    role: str
    adapters: tuple[str, ...] = ()
    generations: tuple[str, ...] = ()
    fencing: int = 0
    leaving: bool = False


@dataclass(frozen=True, slots=True)
class PrefixEvent:
    """A prefix was stored in or evicted from an engine's cache."""

    sequence: int
    kind: str
    prefix: str


@dataclass(frozen=True, slots=True)
class PrefixEvents:
    """Published cache events; `next` is the `after` of the next call."""

    next: int
    events: tuple[PrefixEvent, ...] = ()


LOAD_ADAPTER = TypeAdapter(EngineLoad)
PREFIX_EVENTS_ADAPTER = TypeAdapter(PrefixEvents)


def encode_start(start: GenerationStart) -> bytes:
    """Return the request body that starts a generation."""
    return orjson.dumps(
        {
            'generation': start.generation,
            'request': start.request,
            'model': start.model,
            'adapter': start.adapter,
            'prompt': list(start.prompt),
            'max_tokens': start.max_tokens,
            'priority': start.priority,
        }
    )

"""Events of a generation's stream from its engine."""

from dataclasses import dataclass


@dataclass(slots=True)
class GenerationStarted:
    """First event: the engine incarnation `restart` runs the generation."""

    generation: str
    restart: str


@dataclass(slots=True)
class Token:
    """The token at `offset` (from 0); `raw` is its event as received."""

    offset: int
    text: str
    raw: bytes


@dataclass(slots=True)
class Heartbeat:
    """The engine is alive and has no token yet."""


@dataclass(slots=True)
class Done:
    """The generation ended after `tokens` tokens; `reason` stop or length."""

    tokens: int
    reason: str


@dataclass(slots=True)
class EngineFailure:
    """The engine ended the generation with an error of its own."""

    kind: str


@dataclass(slots=True)
class StreamBroken:
    """The connection failed or sent what is no event: resume or give up."""

    detail: str


StreamEvent = (
    Token | Heartbeat | GenerationStarted | Done | EngineFailure | StreamBroken
)

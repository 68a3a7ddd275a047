"""Events of a generation's stream from its engine."""

from dataclasses import dataclass


@dataclass(slots=True)
class GenerationStarted:
    """First event; `restart` is the incarnation of the engine that runs it."""

    generation: str
    restart: str


@dataclass(slots=True)
class Token:
    """A token; `offset` counts from 0, `raw` is its event as received."""

    offset: int
    text: str
    raw: bytes


@dataclass(slots=True)
class Heartbeat:
    """The engine is alive and has no token yet."""


@dataclass(slots=True)
class Done:
    """The generation ended after `tokens` tokens.

    `reason` is stop or length.
    """

    tokens: int
    reason: str


@dataclass(slots=True)
class EngineFailure:
    """The engine ended the generation with an error."""

    kind: str


@dataclass(slots=True)
class StreamBroken:
    """The connection failed or sent a malformed event: resume or give up."""

    detail: str


StreamEvent = (
    Token | Heartbeat | GenerationStarted | Done | EngineFailure | StreamBroken
)

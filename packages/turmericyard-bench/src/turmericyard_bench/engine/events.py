"""Results of a submission to an engine model, and events of its steps."""

from dataclasses import dataclass
from enum import Enum


class RefusalKind(Enum):
    """Why a generation was refused."""

    OVERLOADED = 'overloaded'
    LOADING = 'loading'
    DOWN = 'down'
    TOO_LONG = 'too-long'


@dataclass(frozen=True, slots=True)
class Accepted:
    """The generation was queued at the engine incarnation `restart`."""

    restart: str


@dataclass(frozen=True, slots=True)
class Refused:
    """The generation was refused and nothing was started."""

    kind: RefusalKind


Submission = Accepted | Refused


@dataclass(slots=True)
class TokenProduced:
    """A generation produced its token at `offset`, counted from 0."""

    generation: str
    offset: int


@dataclass(slots=True)
class GenerationDone:
    """A generation ended after `tokens` tokens; `reason`: stop or length."""

    generation: str
    tokens: int
    reason: str


@dataclass(slots=True)
class GenerationPreempted:
    """A generation was preempted and waits for its recomputation."""

    generation: str


@dataclass(slots=True)
class EngineCrashed:
    """The engine crashed, lost `generations`, and restarts cold."""

    restart: str
    generations: tuple[str, ...]


EngineEvent = (
    TokenProduced | GenerationDone | GenerationPreempted | EngineCrashed
)

"""Errors of calls to an engine, distinguished by the effect of the call."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class NotStarted:
    """The engine did not start the generation.

    `kind` is unreachable, overloaded, loading, down, too-long, rejected or
    no-model.
    """

    address: str
    kind: str
    detail: str = ''

    @property
    def message(self) -> str:
        """Return what happened and the remedy."""
        return (
            f'engine {self.address} did not start the generation ({self.kind}'
            f'{f": {self.detail}" if self.detail else ""}): try another engine'
        )


@dataclass(frozen=True, slots=True)
class OutcomeUnknown:
    """The request was sent and no complete response arrived."""

    address: str
    detail: str

    @property
    def message(self) -> str:
        """Return what happened and the remedy."""
        return (
            f'no complete response from engine {self.address} ({self.detail}): '
            'cancel the generation by its id before placing it elsewhere'
        )


@dataclass(frozen=True, slots=True)
class GenerationUnknown:
    """The engine does not run the generation, or no longer does."""

    address: str
    generation: str

    @property
    def message(self) -> str:
        """Return what happened and the remedy."""
        return (
            f'engine {self.address} does not know generation '
            f'{self.generation}: start a new one'
        )


@dataclass(frozen=True, slots=True)
class OrderOutdated:
    """The engine has accepted an order with a higher fencing number."""

    address: str
    highest: int

    @property
    def message(self) -> str:
        """Return what happened and the remedy."""
        return (
            f'engine {self.address} accepted orders up to {self.highest}: '
            'another node sends its orders now'
        )


@dataclass(frozen=True, slots=True)
class OrderDeferred:
    """The weights store or the engine cannot accept the order yet."""

    address: str
    retry_after_seconds: float

    @property
    def message(self) -> str:
        """Return what happened and the remedy."""
        return (
            f'engine {self.address} cannot accept the order yet: try again '
            f'in {self.retry_after_seconds:g} s'
        )


EngineError = (
    NotStarted
    | OutcomeUnknown
    | GenerationUnknown
    | OrderOutdated
    | OrderDeferred
)

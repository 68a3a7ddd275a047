"""Warm-up of an engine and its capacity while cold."""

from dataclasses import dataclass

from turmericyard_bench.engine.shape import EngineShape


@dataclass(frozen=True, slots=True)
class ColdExcess:
    """A cold engine was given more requests than its capacity."""

    at: float
    running: int
    capacity: int


class Warmth:
    """Tracks the warm-up of one engine incarnation.

    The engine turned cold at `cold_since`; `produced` counts the tokens
    produced since then. Its reduced capacity applies from `onset` on.
    """

    def __init__(self, shape: EngineShape, *, warm: bool) -> None:
        self.shape = shape
        self.is_cold = not warm
        self.cold_since: float = 0
        self.onset: float = 0
        self.produced = 0

    @property
    def capacity(self) -> int:
        """Return the number of requests that the engine can run."""
        if not self.is_cold:
            return self.shape.limit
        slots = self.produced // self.shape.warm_tokens_per_slot
        return min(self.shape.limit, self.shape.cold_limit + slots)

    @property
    def slowdown(self) -> float:
        """Return the factor on step times; 1 when warm."""
        return self.shape.cold_slowdown if self.is_cold else 1

    def turn_cold(self, now: float, *, restarted: bool) -> None:
        """Reset the warm-up.

        Without a restart the reduced capacity applies only after
        `cold_onset_seconds`.
        """
        self.is_cold = True
        self.cold_since = now
        self.produced = 0
        self.onset = now if restarted else now + self.shape.cold_onset_seconds

    def record_tokens(self, tokens: int) -> None:
        """Add produced tokens to the warm-up."""
        if not self.is_cold:
            return
        self.produced += tokens
        self.is_cold = self.capacity < self.shape.limit

    def excess(self, in_flight: int, now: float) -> ColdExcess | None:
        """Return the excess of `in_flight` over the capacity, or None."""
        if not self.is_cold or now < self.onset or in_flight <= self.capacity:
            return None
        return ColdExcess(now, in_flight, self.capacity)

"""Sends prompts with a struck part one at a time.

While it is not known which part crashes endpoints, each request with it that is
sent may crash one more. The outcome of one request, the trial, is awaited before
the next is sent.
"""

from collections.abc import Callable, Iterable
from dataclasses import dataclass, field

from turmericyard_decisions.strikes import Strike, StrikeRegistry

#: Strikes of a part from which its requests are sent one at a time. Engines that
#: crash together under a part give it one strike, and come back together.
TRIAL_STRIKES = 1
#: Time after which a trial without an outcome is over, in seconds.
TRIAL_SECONDS = 3.0


@dataclass(frozen=True, slots=True)
class Trial:
    """The client attempt that is sent, and the strikes when it was placed.

    `over_at` is when the trial is over without an outcome.
    """

    attempt: str
    strike: Strike
    over_at: float


@dataclass(slots=True)
class TrialRegistry:
    """The latest trial of each mark."""

    strike_registry: StrikeRegistry
    clock: Callable[[], float]
    trials: dict[bytes, Trial] = field(default_factory=dict)

    def suspects(self, marks: Iterable[bytes]) -> tuple[bytes, ...]:
        """Return the marks whose requests are sent one at a time."""
        return tuple(
            mark
            for mark in marks
            if self.strike_registry.known(mark).count >= TRIAL_STRIKES
        )

    def must_wait(self, attempt: str, marks: Iterable[bytes]) -> bool:
        """Return whether an attempt waits for the outcome of another one."""
        return any(
            self.is_under_way(mark) and self.trials[mark].attempt != attempt
            for mark in self.suspects(marks)
        )

    def is_under_way(self, mark: bytes) -> bool:
        """Return whether a trial of the mark has no outcome yet.

        A further strike or a clearance is the outcome.
        """
        trial = self.trials.get(mark)
        if trial is None:
            return False
        known = self.strike_registry.known(mark)
        unchanged = (trial.strike.era, trial.strike.count) == (
            known.era,
            known.count,
        )
        if unchanged and self.clock() < trial.over_at:
            return True
        self.trials.pop(mark)
        return False

    def begin(self, attempt: str, marks: Iterable[bytes]) -> None:
        """Begin a trial of those marks that are sent one at a time."""
        over_at = self.clock() + TRIAL_SECONDS
        for mark in self.suspects(marks):
            strike = self.strike_registry.known(mark)
            self.trials[mark] = Trial(attempt, strike, over_at)

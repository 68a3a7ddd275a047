"""Pace of an endpoint's tokens, aggregated by relaying nodes for its owner.

A relaying node keeps one meter for each endpoint and sends a sample a few times
a second: three numbers, regardless of the number of streams. The owner adds the
samples of all nodes and uses them as evidence that the endpoint is warm.
"""

from dataclasses import dataclass

from turmericyard_decisions.warmth import Warmth

#: Shortest gap, in seconds, that counts as a stall.
STALL_SECONDS = 0.5


@dataclass(frozen=True, slots=True)
class PaceSample:
    """Tokens of an interval, and the number and sum of the gaps between them.

    A gap is the time in seconds since the previous token of the same stream.
    """

    tokens: int = 0
    gaps: int = 0
    gap_seconds: float = 0

    def plus(self, other: 'PaceSample') -> 'PaceSample':
        """Return the sum of both samples."""
        return PaceSample(
            self.tokens + other.tokens,
            self.gaps + other.gaps,
            self.gap_seconds + other.gap_seconds,
        )

    def seconds_per_token(self) -> float | None:
        """Return the mean gap, None when there were no gaps."""
        return self.gap_seconds / self.gaps if self.gaps else None


@dataclass(slots=True)
class PaceMeter:
    """Counts the tokens of one endpoint as they are relayed."""

    tokens: int = 0
    gaps: int = 0
    gap_seconds: float = 0

    def observe(self, gap_seconds: float | None) -> None:
        """Count a token; its gap is None for the first token of a stream.

        Gaps of `STALL_SECONDS` or more are stalls and not part of the pace.
        """
        self.tokens += 1
        if gap_seconds is not None and gap_seconds < STALL_SECONDS:
            self.gaps += 1
            self.gap_seconds += gap_seconds

    def observe_chunk(self, tokens: int, gap_seconds: float | None) -> None:
        """Count tokens that arrived together after one gap."""
        self.tokens += tokens
        if gap_seconds is not None and gap_seconds < STALL_SECONDS:
            self.gaps += tokens
            self.gap_seconds += gap_seconds

    def take_sample(self) -> PaceSample:
        """Return the sample since the last call and reset the meter."""
        sample = PaceSample(self.tokens, self.gaps, self.gap_seconds)
        self.tokens = 0
        self.gaps = 0
        self.gap_seconds = 0
        return sample


def record_pace_sample(
    warmth: Warmth,
    sample: PaceSample,
    concurrency: int,
    now: float,
) -> None:
    """Record the sum of all nodes' samples of one interval as evidence."""
    if not sample.tokens:
        return
    warmth.observe_tokens(now, sample.tokens, concurrency)
    pace = sample.seconds_per_token()
    if pace is not None:
        warmth.observe_pace(pace)

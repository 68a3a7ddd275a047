"""Load shedding: refuses requests that can't be served by their deadline.

The wait is predicted from the expected tokens ahead in the fair queue and the
rate at which the pool recently took tokens, so that a small workspace is not
refused because of the backlog of a large one.
"""

from dataclasses import dataclass

RATE_WINDOW_SECONDS = 5.0
#: When a pool took no tokens for this time, in seconds, and the queue is empty,
#: there were no requests: a busy engine takes a step in a twentieth of this time.
IDLE_SECONDS = 1.0
MIN_RETRY_SECONDS = 0.5
MAX_RETRY_SECONDS = 60.0
DEADLINE_SHARE = 0.9


@dataclass(frozen=True, slots=True)
class Keep:
    """Let the request wait; `wait_seconds` is the predicted wait."""

    wait_seconds: float


@dataclass(frozen=True, slots=True)
class Shed:
    """Refuse the request at once, before it runs.

    `retry_after` is the predicted time in seconds until the backlog is short
    enough for its deadline.
    """

    wait_seconds: float
    retry_after: float


@dataclass(slots=True)
class ServiceRate:
    """Tokens a second that a pool takes, averaged over a moving window.

    `at` is the time of the last dispatch, `tokens` the count at that time.
    `started_at` is the start of the measurement.

    The rate is the capacity of the pool only while requests wait for it.
    """

    tokens: float = 0
    at: float = 0
    started_at: float | None = None

    def observe(self, now: float, tokens: float) -> None:
        """Add the expected tokens of a dispatched request."""
        if self.started_at is None:
            self.started_at = now
            self.at = now
        self.tokens = self.decayed_tokens(now) + tokens
        self.at = now

    def observe_idle(self, now: float) -> None:
        """Record that a request found an empty queue.

        After `IDLE_SECONDS` without dispatches the measurement starts again:
        the old rate reflects low demand, and a burst would be refused because
        of it although endpoints are idle.
        """
        if now - self.at > IDLE_SECONDS:
            self.started_at = None
            self.tokens = 0

    def decayed_tokens(self, now: float) -> float:
        """Return the counted tokens, reduced linearly with their age."""
        age = max(0, now - self.at)
        return self.tokens * max(0, 1 - age / RATE_WINDOW_SECONDS)

    def per_second(self, now: float) -> float | None:
        """Return the rate, None in the first `RATE_WINDOW_SECONDS`."""
        if self.started_at is None:
            return None
        observed_seconds = now - self.started_at
        if observed_seconds < RATE_WINDOW_SECONDS:
            return None
        return self.decayed_tokens(now) / RATE_WINDOW_SECONDS


def check_wait(
    tokens_ahead: float,
    rate: float | None,
    now: float,
    deadline_at: float,
) -> Keep | Shed:
    """Return Keep when a new request can be served by its deadline, else Shed.

    The request may wait when no rate is known: its deadline still applies. A
    rate of 0 gives a wait of `MAX_RETRY_SECONDS`.
    """
    allowed = max(0, deadline_at - now) * DEADLINE_SHARE
    if rate is None:
        return Keep(0)
    wait = tokens_ahead / rate if rate else MAX_RETRY_SECONDS
    if not tokens_ahead or wait <= allowed:
        return Keep(wait)
    return Shed(wait, clamp_retry_after(wait - allowed))


def clamp_retry_after(seconds: float) -> float:
    """Return the delay, from `MIN_RETRY_SECONDS` to `MAX_RETRY_SECONDS`."""
    return min(max(seconds, MIN_RETRY_SECONDS), MAX_RETRY_SECONDS)

"""Known capacity of an endpoint for concurrent work.

The capacity of a cold endpoint is its cold limit. Each piece of work that runs
at healthy speed is evidence for a capacity of one more. Evidence expires, and
any sign of a cold start discards all of it. Nothing else raises the bound.
"""

from bisect import bisect_right
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass, field
from enum import Enum

EVIDENCE_TTL_SECONDS = 60.0
SILENCE_SECONDS = 3.0
FIRST_TOKEN_JUMP_RATIO = 4.0
FIRST_TOKEN_FLOOR_SECONDS = 0.25
FIRST_TOKEN_SMOOTHING = 0.1
EVIDENCE_TOKENS = 128
EVIDENCE_CALLS = 4
PACE_JUMP_RATIO = 1.35
PACE_RECENT_SHARE = 0.5
PACE_USUAL_SHARE = 0.05
CONCURRENCY_GROWTH = 2


class ColdSign(Enum):
    """Why an endpoint is taken to be in cold start."""

    UNKNOWN = 'nothing is known of it yet'
    RESTARTED = 'its restart id changed'
    VERSION_CHANGED = 'its model or version changed'
    REFUSED = 'it refused a connection'
    SLOW_TOKENS = 'its time between tokens jumped'
    SLOW_FIRST_TOKEN = 'its time to first token jumped'
    CACHE_EMPTIED = 'its prefix cache was emptied'
    SILENT = 'its running work made no progress'
    RETURNED = 'it came back into service'


@dataclass(frozen=True, slots=True)
class WarmthEvidence:
    """Work done at healthy speed while `concurrency` requests were running."""

    at: float
    concurrency: int


def all_shares_available(bound: int) -> int:
    """Return the work that a bound allows when all shares are available."""
    return bound


@dataclass(slots=True)
class Warmth:
    """Evidence about one endpoint; `now` is in seconds of one clock.

    `limit` is the capacity of the endpoint when warm. `bound` exceeds the cold
    limit by at most the number of pieces of evidence in the last
    `EVIDENCE_TTL_SECONDS`, and never allows more than twice the concurrency of
    this evidence. `sign` is the last sign of a cold start.
    """

    cold_limit: int
    limit: int
    evidence: deque[WarmthEvidence] = field(default_factory=deque)
    identity: tuple[str, str] = ('', '')
    sign: ColdSign = ColdSign.UNKNOWN
    progress_at: float = 0
    first_token_seconds: float = 0
    uncounted_tokens: int = 0
    uncounted_calls: int = 0
    recent_pace: float = 0
    usual_pace: float = 0

    def bound(
        self,
        now: float,
        running: int = 0,
        allowance: Callable[[int], int] = all_shares_available,
    ) -> int:
        """Return the current capacity of the endpoint in concurrent requests.

        `allowance` returns how much work the available shares allow under a bound;
        work that cannot be granted does not count as concurrency.
        """
        if running and now - self.progress_at > SILENCE_SECONDS:
            self.mark_cold(ColdSign.SILENT)
        self.expire(now)
        cold = min(self.cold_limit, self.limit)
        if not self.evidence:
            return cold
        proven = min(self.cold_limit + len(self.evidence), self.limit)
        max_concurrency = max(entry.concurrency for entry in self.evidence)
        concurrency_bound = max(
            self.cold_limit, max_concurrency * CONCURRENCY_GROWTH
        )
        bounds = range(cold, proven + 1)
        return cold + max(
            bisect_right(bounds, concurrency_bound, key=allowance) - 1, 0
        )

    def expire(self, now: float) -> None:
        """Drop evidence that is older than `EVIDENCE_TTL_SECONDS`."""
        oldest = now - EVIDENCE_TTL_SECONDS
        while self.evidence and self.evidence[0].at < oldest:
            self.evidence.popleft()

    def mark_cold(self, sign: ColdSign) -> None:
        """Discard all evidence because of a sign of a cold start.

        The current pace counts as the usual one from then on.
        """
        self.evidence.clear()
        self.uncounted_tokens = 0
        self.uncounted_calls = 0
        self.usual_pace = self.recent_pace
        self.sign = sign

    def observe_healthy(self, now: float, concurrency: int) -> None:
        """Add one piece of evidence: work that ran at healthy speed."""
        self.observe_progress(now)
        self.evidence.append(WarmthEvidence(now, concurrency))
        while len(self.evidence) > max(self.limit - self.cold_limit, 1):
            self.evidence.popleft()

    def observe_tokens(self, now: float, tokens: int, concurrency: int) -> None:
        """Count tokens of running work.

        Each `EVIDENCE_TOKENS` of them add one piece of evidence.
        """
        self.observe_progress(now)
        self.uncounted_tokens += tokens
        while self.uncounted_tokens >= EVIDENCE_TOKENS:
            self.uncounted_tokens -= EVIDENCE_TOKENS
            self.observe_healthy(now, concurrency)

    def observe_call(self, now: float, concurrency: int) -> None:
        """Count a completed call.

        Each `EVIDENCE_CALLS` of them add one piece of evidence.
        """
        self.observe_progress(now)
        self.uncounted_calls += 1
        if self.uncounted_calls >= EVIDENCE_CALLS:
            self.uncounted_calls = 0
            self.observe_healthy(now, concurrency)

    def observe_pace(self, seconds: float) -> None:
        """Compare the current time between tokens with the usual one.

        A jump is the earliest sign of an engine that turned cold without a
        restart. `seconds` is averaged over the running work by the caller.
        """
        if not self.usual_pace:
            self.recent_pace = seconds
            self.usual_pace = seconds
        self.recent_pace += PACE_RECENT_SHARE * (seconds - self.recent_pace)
        if self.recent_pace > self.usual_pace * PACE_JUMP_RATIO:
            self.mark_cold(ColdSign.SLOW_TOKENS)
            return
        self.usual_pace += PACE_USUAL_SHARE * (seconds - self.usual_pace)

    def observe_progress(self, now: float) -> None:
        """Record that running work made progress; this adds no evidence."""
        self.progress_at = max(self.progress_at, now)

    def observe_first_token(self, now: float, seconds: float) -> None:
        """Compare one time to first token with the usual one."""
        self.observe_progress(now)
        usual = max(self.first_token_seconds, FIRST_TOKEN_FLOOR_SECONDS)
        if (
            self.first_token_seconds
            and seconds > usual * FIRST_TOKEN_JUMP_RATIO
        ):
            self.mark_cold(ColdSign.SLOW_FIRST_TOKEN)
            return
        step = FIRST_TOKEN_SMOOTHING if self.first_token_seconds else 1.0
        self.first_token_seconds += step * (seconds - self.first_token_seconds)

    def observe_identity(self, restart: str, version: str) -> None:
        """Compare the restart id and version with the last ones seen."""
        known_restart, known_version = self.identity
        self.identity = (restart, version)
        if known_restart != restart:
            self.mark_cold(ColdSign.RESTARTED)
        elif known_version != version:
            self.mark_cold(ColdSign.VERSION_CHANGED)


def create_warmth(cold_limit: int, limit: int) -> Warmth:
    """Return the warmth of an endpoint without evidence."""
    return Warmth(cold_limit=cold_limit, limit=limit)

"""Retries of failed attempts, where safe and within a workspace's budget.

The budget is a fraction of the workspace's successes, so that a failing
endpoint can't multiply the load on the others.
"""

from collections import OrderedDict
from dataclasses import dataclass, field
from enum import Enum

RETRIES_PER_SUCCESS = 0.2
INITIAL_RETRIES = 3.0
MAX_SAVED_RETRIES = 20.0
MAX_ATTEMPTS = 4
MAX_TRACKED_WORKSPACES = 4096
FIRST_BACKOFF_SECONDS = 0.05
MAX_BACKOFF_SECONDS = 2.0


class ExecutionState(Enum):
    """Whether a failed attempt ran, as far as known."""

    NOTHING = 'it is certain that nothing ran'
    UNKNOWN = 'it may have run'
    PARTLY = 'tokens were already delivered'


class RetryRefusal(Enum):
    """Why a failed attempt is not retried."""

    MAY_HAVE_RUN = 'the call may have run and must not run twice'
    DELIVERED = 'tokens of its generation were already delivered'
    ATTEMPTS = 'it was attempted as often as allowed'
    DEADLINE = 'its deadline would pass before the next attempt'
    BUDGET = 'the retry budget of the workspace is spent'


@dataclass(frozen=True, slots=True)
class Attempt:
    """One failed attempt; `number` counts from 1.

    `deadline_at` is the time of the request's deadline, in seconds.
    """

    workspace: str
    number: int
    idempotent: bool
    ran: ExecutionState
    deadline_at: float


@dataclass(frozen=True, slots=True)
class Retry:
    """Retry the attempt after `delay_seconds`."""

    delay_seconds: float


@dataclass(slots=True)
class RetryBudgets:
    """Saved retries by workspace; the least recently used is dropped first."""

    saved: OrderedDict[str, float] = field(default_factory=OrderedDict)

    def available(self, workspace: str) -> float:
        """Return how many retries the workspace has left."""
        return self.saved.get(workspace, INITIAL_RETRIES)

    def store(self, workspace: str, retries: float) -> None:
        """Set the retries left; may drop the least recently used workspace."""
        self.saved[workspace] = min(retries, MAX_SAVED_RETRIES)
        self.saved.move_to_end(workspace)
        if len(self.saved) > MAX_TRACKED_WORKSPACES:
            self.saved.popitem(last=False)

    def observe_success(self, workspace: str) -> None:
        """Add `RETRIES_PER_SUCCESS` to the budget of the workspace."""
        self.store(workspace, self.available(workspace) + RETRIES_PER_SUCCESS)

    def decide(self, attempt: Attempt, now: float) -> Retry | RetryRefusal:
        """Return the retry, charged to the budget, or why there is none."""
        refusal = find_refusal(attempt)
        if refusal:
            return refusal
        delay = min(
            FIRST_BACKOFF_SECONDS * 2 ** (attempt.number - 1),
            MAX_BACKOFF_SECONDS,
        )
        if now + delay >= attempt.deadline_at:
            return RetryRefusal.DEADLINE
        left = self.available(attempt.workspace) - 1
        if left < 0:
            return RetryRefusal.BUDGET
        self.store(attempt.workspace, left)
        return Retry(delay)


def find_refusal(attempt: Attempt) -> RetryRefusal | None:
    """Return why the attempt must not be retried, None if it may be."""
    if attempt.ran is ExecutionState.PARTLY:
        return RetryRefusal.DELIVERED
    if attempt.ran is ExecutionState.UNKNOWN and not attempt.idempotent:
        return RetryRefusal.MAY_HAVE_RUN
    if attempt.number >= MAX_ATTEMPTS:
        return RetryRefusal.ATTEMPTS
    return None


def create_retry_budgets() -> RetryBudgets:
    """Return budgets with `INITIAL_RETRIES` for every workspace."""
    return RetryBudgets()

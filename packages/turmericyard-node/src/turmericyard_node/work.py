"""One piece of work, from its admission until it is placed."""

from dataclasses import dataclass, field
from uuid import uuid4

from turmericyard_decisions.fair_queue import QueueEntry
from turmericyard_protocol.messages import PermitGrant
from turmericyard_tables.models import Endpoint, Route

#: Expected tokens that the fair queue charges for a call of a service.
TOKENS_PER_CALL = 1


def create_queue_id() -> str:
    """Return a unique id of an entry in the queue."""
    return uuid4().hex


@dataclass(slots=True)
class Work:
    """A matched request; times in seconds of the boot clock.

    `excluded_endpoints` has the endpoints that already failed it;
    `may_have_run` says that one of them may have worked on it. `queue_id` is
    unique in the queue, since callers may send the same request id again.
    """

    request: str
    route: Route
    workspace: str
    weight: int
    marks: frozenset[str]
    accepted_at: float
    deadline_at: float
    prompt: tuple[int, ...] = ()
    max_tokens: int = 0
    prefix: str = ''
    expected_tokens: float = TOKENS_PER_CALL
    attempts: int = 0
    excluded_endpoints: set[str] = field(default_factory=set)
    may_have_run: bool = False
    queue_id: str = field(default_factory=create_queue_id)
    queued: QueueEntry | None = None

    def entry(self, now: float) -> QueueEntry:
        """Return the entry in the fair queue."""
        return QueueEntry(
            self.queue_id,
            self.route.product,
            self.workspace,
            self.route.priority,
            self.expected_tokens,
            now,
            self.deadline_at,
        )


@dataclass(frozen=True, slots=True)
class PlacedEndpoint:
    """An endpoint and a permit for it, to be used before `usable_until`."""

    endpoint: Endpoint
    grant: PermitGrant
    usable_until: float


@dataclass(frozen=True, slots=True)
class PlacementRefusal:
    """Why the work was not placed; this attempt has run nothing."""

    kind: str
    message: str
    retry_after_seconds: float

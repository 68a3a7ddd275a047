"""Messages between forwarding nodes and their hubs, one type each."""

import math

from turmericyard_protocol.message import Message

THOUSAND = 1000


class EndpointUse(Message, frozen=True):
    """Load that one node puts on an endpoint.

    `running` is the number of runs. `held_tokens` is the memory in use now and
    `memory_tokens` the forecast for the expected ends of the runs.
    `unread_tokens` are the prompts of runs that have no event yet.
    `lent_tokens` are the copies that the endpoint keeps of runs elsewhere.
    """

    identity: str
    running: int
    held_tokens: int
    memory_tokens: int
    unread_tokens: int
    lent_tokens: int


class EndpointAnswers(Message, frozen=True):
    """Counts of an endpoint's answers between two heartbeats of a node.

    `batch` increases with each heartbeat, also across restarts of the node.
    `unreachable` counts requests for which no connection could be made or
    which reached another endpoint.
    """

    batch: int
    identity: str
    good: int
    failed: int
    unreachable: int


class LeavingSign(Message, frozen=True):
    """An endpoint announced in an answer that it leaves.

    `address` and `born` distinguish this start of the endpoint from others with
    the same identity. `born` is None where the platform does not publish it.
    """

    identity: str
    address: str
    born: int | None


class EndpointLimit(Message, frozen=True):
    """What an endpoint takes from all nodes together.

    `address` and `born` distinguish this start of the endpoint from others with
    the same identity. `thousandths` is the limit in thousandths of a request a
    second, None when the endpoint names no limit any more. `rejections` is how
    many requests a second it can reject and go on, None when it does not say
    so. `version` increases with each change that a node observes.
    """

    identity: str
    address: str
    born: int | None
    version: int
    thousandths: int | None
    rejections: int | None = None

    @property
    def per_second(self) -> float | None:
        """Return the requests a second, None without a limit."""
        if self.thousandths is None:
            return None
        return self.thousandths / THOUSAND

    @property
    def start(self) -> tuple[str, str, int | None]:
        """Return what distinguishes this start of the endpoint from others."""
        return (self.identity, self.address, self.born)

    def supersedes(self, other: 'EndpointLimit') -> bool:
        """Return whether this is newer; the lower limit wins in a tie."""
        return self.rank() > other.rank()

    def rank(self) -> tuple[int, float, float]:
        """Return the sort key by which the newer of two limits is higher."""
        limit = math.inf if self.thousandths is None else self.thousandths
        rejections = math.inf if self.rejections is None else self.rejections
        return (self.version, -limit, -rejections)

    def is_stricter(self, other: 'EndpointLimit') -> bool:
        """Return whether an endpoint takes less by this limit in any way."""
        _, limit, rejections = self.rank()
        _, other_limit, other_rejections = other.rank()
        return limit > other_limit or rejections > other_rejections


class StrikeReport(Message, frozen=True):
    """Strikes against a request or a part of a prompt that crashed endpoints.

    `era` counts how often the strikes against the mark were cleared, `count`
    the strikes since. `companions` are marks of parts of the same prompts.
    """

    mark: bytes
    era: int
    count: int
    companions: tuple[bytes, ...]


class Findings(Message, frozen=True):
    """Findings from answers about endpoints and requests."""

    leaving: tuple[LeavingSign, ...] = ()
    strikes: tuple[StrikeReport, ...] = ()
    limits: tuple[EndpointLimit, ...] = ()


class EndpointPace(Message, frozen=True):
    """How fast an endpoint served one node since its last heartbeat.

    `events` of streams took `event_us` microseconds in all, while
    `running` generations, summed over the events, ran there. `prompt_tokens`
    took `prompt_us` from the request to the first event. `calls` of a plain
    service took `call_us`.
    """

    identity: str
    events: int = 0
    event_us: int = 0
    running: int = 0
    prompt_tokens: int = 0
    prompt_us: int = 0
    calls: int = 0
    call_us: int = 0


class RolloutCount(Message, frozen=True):
    """Answers that one node got for a route since a roll-out was ordered.

    Counts are cumulative for one process of the node. `order` is the revision
    of the order. `old` and `new` count answers by duration: the first entry
    has the failures, the others successful answers by classes of time to the
    first event or answer, the fastest first.
    """

    service: str
    order: int
    route: str
    old: tuple[int, ...]
    new: tuple[int, ...]
    #: Requests sent to the service, and those of them sent to the new version.
    sent: int = 0
    sent_new: int = 0
    #: Time since the node first saw the order, in milliseconds.
    age_ms: int = 0


class FleetBeat(Message, frozen=True):
    """Heartbeat of a forwarding node to its hubs.

    `sequence` is that of the last update received from the hub; `revision` and
    `era` are those of the node's view of the store. `taking` tells whether clients may be
    sent to the node, `cut_off` whether the node reaches no endpoint by itself.
    `paces` are the speeds of endpoints that it observed, `rollouts` its counts
    for versions that are rolled out and `started` tells one process of the node
    from the next. `use` is its load on each endpoint. `answers` counts the
    answers of endpoints. The last batches of `answers` and the latest
    `findings` are sent repeatedly, because heartbeats may be lost.
    """

    sequence: int
    revision: int
    taking: bool
    use: tuple[EndpointUse, ...]
    answers: tuple[EndpointAnswers, ...]
    findings: Findings = Findings()
    era: int = 0
    cut_off: bool = False
    paces: tuple[EndpointPace, ...] = ()
    rollouts: tuple[RolloutCount, ...] = ()
    started: int = 0


class StoreItem(Message, frozen=True):
    """An item of the store; `value` is None for a removed item.

    `era` counts how often the store was restored before the item's change.
    """

    key: str
    value: bytes | None
    revision: int
    era: int = 0


class HubUpdate(Message, frozen=True):
    """State of a hub, in full or as the changes since its previous update.

    `whole` tells which of the two. `members` are the nodes whose heartbeats the
    hub receives, each with whether clients may be sent to it. `aside` are pairs
    of endpoint and zone, one for each endpoint that is ejected for the nodes of
    a zone because it fails their requests; None when unchanged. `items` are the
    changed items of the store at `revision` of `era`. `store_age_ms` is the time since
    the store last answered the hub and `trouble` whether its calls to the store
    failed recently. `cut_off` are the nodes that reach no endpoint by
    themselves; None when unchanged.
    """

    sequence: int
    whole: bool
    members: tuple[tuple[str, bool], ...]
    aside: tuple[tuple[str, str], ...] | None
    revision: int
    store_age_ms: int
    trouble: bool
    items: tuple[StoreItem, ...]
    findings: Findings = Findings()
    era: int = 0
    cut_off: tuple[str, ...] | None = None


class ViewItemsRequest(Message, frozen=True):
    """Asks a node for its view of the store if it is newer than the sender's.

    `after` and `era` are the revision and the era of the sender's view.
    """

    after: int
    era: int = 0


class ViewItemsReply(Message, frozen=True):
    """All items at a revision; empty with revision 0 if none is newer."""

    revision: int
    items: tuple[StoreItem, ...]
    era: int = 0


class PlaceRequest(Message, frozen=True):
    """Asks a hub to choose the endpoint of a generation.

    `tokens` is the forecast of its memory. `avoided` are endpoints that fail by
    the requesting node's own evidence. `suspects` are the marks of parts of its
    prompt that may crash endpoints: the outcome of the client's `attempt` is
    awaited before another request with them is placed. `priority` is that of
    the workspace and that of the route, 0 first. A request that may wait at the
    hub gives `wait_ms`, the time that it may still wait, and `waited_ms`, the
    time that it has waited. `route` and `workspace` tell whose it is. A request
    that was queued is held for `hold_ms`, which may be longer than `wait_ms`:
    an answer after the latency target is still worth more than a refusal.
    """

    service: str
    zone: str
    prompt_tokens: int
    tokens: int
    avoided: tuple[str, ...]
    attempt: str = ''
    suspects: tuple[bytes, ...] = ()
    priority: tuple[int, int] = (0, 0)
    workspace: str = ''
    route: str = ''
    wait_ms: int = 0
    waited_ms: int = 0
    hold_ms: int = 0


class CopyPlaceRequest(Message, frozen=True):
    """Asks a hub to choose the endpoint for a copy of a run in `zone`.

    `backup` is true for a copy that is kept while the run continues, and false
    for a copy that is made because the run must leave its endpoint. `avoided`
    are the endpoint of the run and endpoints that had no capacity for the copy.
    """

    service: str
    zone: str
    tokens: int
    backup: bool
    avoided: tuple[str, ...]


class PlaceEnd(Message, frozen=True):
    """Tells a hub that a request that it placed at an endpoint has ended."""

    endpoint: str
    attempt: str


class PlaceReply(Message, frozen=True):
    """The chosen endpoint; empty when none has capacity.

    `queued` tells that the request waits at the hub, which will send a
    `PlaceOffer`. A request that is refused may be sent again after
    `retry_after_ms`, if that is not 0.
    """

    endpoint: str
    queued: bool = False
    retry_after_ms: int = 0


class PlaceOffer(Message, frozen=True):
    """Gives a request that waits at a hub its endpoint.

    Without an `endpoint` the request is refused and may be sent again after
    `retry_after_ms`. The answer is `PlaceTaken`.
    """

    attempt: str
    endpoint: str
    retry_after_ms: int = 0


class PlaceTaken(Message, frozen=True):
    """Tells a hub whether a node uses the place that it was offered."""

    taken: bool


class QueueLeave(Message, frozen=True):
    """Tells a hub that a request no longer waits for a place."""

    attempt: str

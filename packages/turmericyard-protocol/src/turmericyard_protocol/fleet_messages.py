"""Messages between forwarding nodes and their hubs, one type each."""

from turmericyard_protocol.message import Message


class EndpointUse(Message, frozen=True):
    """What one node runs at an endpoint; memory and prompts in tokens.

    `held_tokens` are taken now, `memory_tokens` when the runs are at their
    likely ends, `unread_tokens` the prompts of runs without an event yet,
    `lent_tokens` copies that the endpoint keeps of runs at others.
    """

    identity: str
    running: int
    held_tokens: int
    memory_tokens: int
    unread_tokens: int
    lent_tokens: int


class EndpointAnswers(Message, frozen=True):
    """Answers of an endpoint that a node got between two beats.

    `batch` grows with each beat, also over restarts of the node.
    `unreachable` counts requests for which no connection was made, or which
    another endpoint got.
    """

    batch: int
    identity: str
    good: int
    failed: int
    unreachable: int


class LeavingSign(Message, frozen=True):
    """A start of an endpoint said in an answer that it leaves.

    `address` and `born` tell the start from others with the same identity;
    `born` is None where the platform does not tell it.
    """

    identity: str
    address: str
    born: int | None


class Findings(Message, frozen=True):
    """What answers say of endpoints and requests.

    `strikes` are mark, era and count of requests that crash endpoints.
    """

    leaving: tuple[LeavingSign, ...] = ()
    strikes: tuple[tuple[bytes, int, int], ...] = ()


class FleetBeat(Message, frozen=True):
    """What a forwarding node tells its hubs.

    `sequence` is that of the last update that it has of the hub, `revision`
    that of its view of the store, `taking` whether clients may be sent to it,
    `use` what it runs at each endpoint, `answers` what endpoints answered
    it; those of the last batches come again, as beats may be lost, and so do
    the latest `findings`.
    """

    sequence: int
    revision: int
    taking: bool
    use: tuple[EndpointUse, ...]
    answers: tuple[EndpointAnswers, ...]
    findings: Findings = Findings()


class StoreItem(Message, frozen=True):
    """An item of the store; `value` is None after its removal."""

    key: str
    value: bytes | None
    revision: int


class HubUpdate(Message, frozen=True):
    """What a hub knows, whole or since its update before.

    `members` are the nodes that it hears and whether clients may be sent to
    them; `aside` the endpoints that fail the nodes of a zone, as pairs of
    endpoint and zone, None when unchanged; `items` the changed items of the store at `revision`. `store_age_ms`
    is the time since the store answered the hub, `trouble` whether the store
    failed it lately.
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


class ViewItemsRequest(Message, frozen=True):
    """Asks a node for its view of the store when it is newer."""

    after: int


class ViewItemsReply(Message, frozen=True):
    """All items at a revision; empty with revision 0 when not newer."""

    revision: int
    items: tuple[StoreItem, ...]


class PlaceRequest(Message, frozen=True):
    """Asks a hub for the place of a generation; `tokens` is its forecast.

    `avoided` are endpoints that the asker knows to fail.
    """

    service: str
    zone: str
    prompt_tokens: int
    tokens: int
    avoided: tuple[str, ...]


class CopyPlaceRequest(Message, frozen=True):
    """Asks a hub where a copy of a run in `zone` fits.

    `backup` says that the copy is kept while the run goes on, and not made
    because it must leave. `avoided` are the run's own endpoint and those that
    had no room.
    """

    service: str
    zone: str
    tokens: int
    backup: bool
    avoided: tuple[str, ...]


class PlaceReply(Message, frozen=True):
    """The endpoint of a generation or a copy, empty when none has room."""

    endpoint: str

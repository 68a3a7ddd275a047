"""The load that this node and its peers have at each endpoint."""

from dataclasses import dataclass, field

import curio

from turmericyard_protocol.fleet_messages import EndpointUse

#: Token counts in messages are rounded to multiples of this.
TOKEN_STEP = 128


@dataclass(slots=True, eq=False)
class RequestLoad:
    """The load of one request at one endpoint; tokens are 0 for plain calls.

    `lent` marks the memory of a copy or backup, whose run is elsewhere.
    """

    identity: str
    held_tokens: float = 0
    memory_tokens: float = 0
    unread_tokens: float = 0
    lent: bool = False


@dataclass(slots=True)
class LoadTotal:
    """Sums over the request loads at one endpoint."""

    running: int = 0
    held_tokens: float = 0
    memory_tokens: float = 0
    unread_tokens: float = 0
    lent_tokens: float = 0

    def add(self, load: RequestLoad) -> None:
        """Add a request load of this node."""
        if load.lent:
            self.lent_tokens += load.held_tokens
            return
        self.running += 1
        self.held_tokens += load.held_tokens
        self.memory_tokens += load.memory_tokens
        self.unread_tokens += load.unread_tokens

    def merge(self, other: 'LoadTotal') -> None:
        """Add the sums of another total."""
        self.running += other.running
        self.held_tokens += other.held_tokens
        self.memory_tokens += other.memory_tokens
        self.unread_tokens += other.unread_tokens
        self.lent_tokens += other.lent_tokens

    def count(self, use: EndpointUse, times: int) -> None:
        """Add a load that a peer reported; `times` of -1 subtracts it."""
        self.running += times * use.running
        self.held_tokens += times * use.held_tokens
        self.memory_tokens += times * use.memory_tokens
        self.unread_tokens += times * use.unread_tokens
        self.lent_tokens += times * use.lent_tokens


#: No load at all.
NOTHING = LoadTotal()


@dataclass(slots=True)
class LoadTracker:
    """Loads of this node, and those that other nodes report to it as a hub.

    `changed` is set when the hubs should get a heartbeat at once.
    """

    peer_totals: dict[str, LoadTotal] = field(default_factory=dict)
    own: set[RequestLoad] = field(default_factory=set)
    changed: curio.Event = field(default_factory=curio.Event)

    def begin(self, load: RequestLoad) -> RequestLoad:
        """Add a request load to those of this node and return it."""
        self.own.add(load)
        return load

    def end(self, load: RequestLoad | None) -> None:
        """Remove a request load from those of this node; None is ignored."""
        if load is not None:
            self.own.discard(load)

    def has_request_at(self, identity: str) -> bool:
        """Return whether a request is being sent to an endpoint or runs there."""
        return any(
            load.identity == identity and not load.lent for load in self.own
        )

    def own_totals(self) -> dict[str, LoadTotal]:
        """Return this node's totals by endpoint."""
        totals: dict[str, LoadTotal] = {}
        for load in self.own:
            totals.setdefault(load.identity, LoadTotal()).add(load)
        return totals

    def to_messages(self) -> tuple[EndpointUse, ...]:
        """Return this node's totals, without endpoints with plain calls only."""
        return tuple(
            to_message(identity, total)
            for identity, total in self.own_totals().items()
            if total.memory_tokens or total.lent_tokens
        )


def to_message(identity: str, total: LoadTotal) -> EndpointUse:
    """Return a total as a message.

    Tokens are rounded, so that fewer messages differ from the last one.
    """
    return EndpointUse(
        identity,
        total.running,
        round_tokens(total.held_tokens),
        round_tokens(total.memory_tokens),
        round_tokens(total.unread_tokens),
        round_tokens(total.lent_tokens),
    )


def round_tokens(tokens: float) -> int:
    """Return a number of tokens rounded to a multiple of `TOKEN_STEP`."""
    return round(tokens / TOKEN_STEP) * TOKEN_STEP

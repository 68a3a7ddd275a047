"""The load that this node and its peers have at each endpoint."""

from dataclasses import dataclass, field

import curio

from turmericyard_protocol.fleet_messages import EndpointUse

#: Token counts in messages are rounded to multiples of this.
TOKEN_STEP = 128


@dataclass(slots=True, eq=False)
class RequestLoad:
    """One request at one endpoint; tokens are 0 for plain calls."""

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

    def add(self, use: RequestLoad) -> None:
        """Add a request load of this node."""
        if use.lent:
            self.lent_tokens += use.held_tokens
            return
        self.running += 1
        self.held_tokens += use.held_tokens
        self.memory_tokens += use.memory_tokens
        self.unread_tokens += use.unread_tokens

    def merge(self, other: 'LoadTotal') -> None:
        """Add another sum."""
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

    def begin(self, use: RequestLoad) -> RequestLoad:
        """Add a request load to those of this node and return it."""
        self.own.add(use)
        return use

    def end(self, use: RequestLoad | None) -> None:
        """Remove a request load from those of this node; None is ignored."""
        if use is not None:
            self.own.discard(use)

    def has_request_at(self, identity: str) -> bool:
        """Return whether a request runs at an endpoint or is sent there."""
        return any(
            use.identity == identity and not use.lent for use in self.own
        )

    def own_totals(self) -> dict[str, LoadTotal]:
        """Return this node's totals by endpoint."""
        totals: dict[str, LoadTotal] = {}
        for use in self.own:
            totals.setdefault(use.identity, LoadTotal()).add(use)
        return totals

    def to_messages(self) -> tuple[EndpointUse, ...]:
        """Return this node's totals for the hubs, without plain calls only."""
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

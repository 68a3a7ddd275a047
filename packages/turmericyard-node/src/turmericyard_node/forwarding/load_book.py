"""What this node and its peers run at each endpoint."""

from dataclasses import dataclass, field

import curio

from turmericyard_protocol.fleet_messages import EndpointUse

#: Tokens are told to other nodes in steps of this size.
TOKEN_STEP = 128


@dataclass(slots=True, eq=False)
class Use:
    """One request at one endpoint; tokens are 0 for plain calls."""

    identity: str
    held_tokens: float = 0
    memory_tokens: float = 0
    unread_tokens: float = 0
    lent: bool = False


@dataclass(slots=True)
class Total:
    """The sum of some uses of one endpoint."""

    running: int = 0
    held_tokens: float = 0
    memory_tokens: float = 0
    unread_tokens: float = 0
    lent_tokens: float = 0

    def add(self, use: Use) -> None:
        """Add a use of this node."""
        if use.lent:
            self.lent_tokens += use.held_tokens
            return
        self.running += 1
        self.held_tokens += use.held_tokens
        self.memory_tokens += use.memory_tokens
        self.unread_tokens += use.unread_tokens

    def merge(self, other: 'Total') -> None:
        """Add another sum."""
        self.running += other.running
        self.held_tokens += other.held_tokens
        self.memory_tokens += other.memory_tokens
        self.unread_tokens += other.unread_tokens
        self.lent_tokens += other.lent_tokens

    def count(self, use: EndpointUse, times: int) -> None:
        """Add what a peer told, or take it off with -1 times."""
        self.running += times * use.running
        self.held_tokens += times * use.held_tokens
        self.memory_tokens += times * use.memory_tokens
        self.unread_tokens += times * use.unread_tokens
        self.lent_tokens += times * use.lent_tokens


#: No use at all.
NOTHING = Total()


@dataclass(slots=True)
class LoadBook:
    """Own uses, and those that other nodes told this node of, as a hub.

    `news` is set when a use begins.
    """

    others: dict[str, Total] = field(default_factory=dict)
    own: set[Use] = field(default_factory=set)
    news: curio.Event = field(default_factory=curio.Event)

    def begin(self, use: Use) -> Use:
        """Count a use from now on."""
        self.own.add(use)
        return use

    def end(self, use: Use | None) -> None:
        """Count a use no more."""
        if use is not None:
            self.own.discard(use)

    def has_use_of(self, identity: str) -> bool:
        """Return whether a request runs at an endpoint or is sent there."""
        return any(
            use.identity == identity and not use.lent for use in self.own
        )

    def own_totals(self) -> dict[str, Total]:
        """Return what this node runs at each endpoint."""
        totals: dict[str, Total] = {}
        for use in self.own:
            totals.setdefault(use.identity, Total()).add(use)
        return totals

    def tell(self) -> tuple[EndpointUse, ...]:
        """Return the own totals for the hubs, without those of plain calls."""
        return tuple(
            in_use(identity, total)
            for identity, total in self.own_totals().items()
            if total.memory_tokens or total.lent_tokens
        )


def in_use(identity: str, total: Total) -> EndpointUse:
    """Return a total for the wire; tokens in steps, so that few change."""
    return EndpointUse(
        identity,
        total.running,
        in_steps(total.held_tokens),
        in_steps(total.memory_tokens),
        in_steps(total.unread_tokens),
        in_steps(total.lent_tokens),
    )


def in_steps(tokens: float) -> int:
    """Return a number of tokens rounded to whole steps."""
    return round(tokens / TOKEN_STEP) * TOKEN_STEP

"""What this node and its peers run at each endpoint."""

from dataclasses import dataclass, field

from turmericyard_protocol.messages import EndpointUse


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

    def add_peer(self, use: EndpointUse) -> None:
        """Add what a peer told."""
        self.running += use.running
        self.held_tokens += use.held_tokens
        self.memory_tokens += use.memory_tokens
        self.unread_tokens += use.unread_tokens
        self.lent_tokens += use.lent_tokens


@dataclass(slots=True)
class LoadBook:
    """Own uses and the latest told by each peer."""

    own: set[Use] = field(default_factory=set)
    peers: dict[str, tuple[EndpointUse, ...]] = field(default_factory=dict)
    changed: bool = False

    def begin(self, use: Use) -> Use:
        """Count a use from now on."""
        self.own.add(use)
        self.changed = True
        return use

    def end(self, use: Use | None) -> None:
        """Count a use no more."""
        if use is not None:
            self.own.discard(use)

    def observe_peer(self, node: str, use: tuple[EndpointUse, ...]) -> None:
        """Take over what a peer runs."""
        self.peers[node] = use

    def forget_peer(self, node: str) -> None:
        """Count nothing of a peer that is not heard."""
        self.peers.pop(node, None)

    def own_totals(self) -> dict[str, Total]:
        """Return what this node runs at each endpoint."""
        totals: dict[str, Total] = {}
        for use in self.own:
            totals.setdefault(use.identity, Total()).add(use)
        return totals

    def totals(self) -> dict[str, Total]:
        """Return what the fleet runs at each endpoint."""
        totals = self.own_totals()
        for told in self.peers.values():
            for use in told:
                totals.setdefault(use.identity, Total()).add_peer(use)
        return totals

    def told(self) -> tuple[EndpointUse, ...]:
        """Return the own totals for peers."""
        return tuple(
            EndpointUse(
                identity,
                total.running,
                int(total.held_tokens),
                int(total.memory_tokens),
                int(total.unread_tokens),
                int(total.lent_tokens),
            )
            for identity, total in self.own_totals().items()
        )

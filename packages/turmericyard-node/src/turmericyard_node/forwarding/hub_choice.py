"""Which nodes are the hubs of this one, and what each told last."""

from dataclasses import dataclass, field

from xxhash import xxh3_64_intdigest

from turmericyard_http.clock import Clock
from turmericyard_node.forwarding.hub import LIVE_SECONDS
from turmericyard_node.members import LIVE, Member, Membership

#: Hubs that a node beats to: the second one is there when the first fails.
HUBS = 2
#: How long a hub that did not answer is passed over, in seconds.
PASSED_OVER_SECONDS = 3.0
#: Age of a hub's news from the store above which a node asks the store
#: itself, in seconds.
STALE_SECONDS = 1.2


@dataclass(slots=True)
class HubNews:
    """What a hub told last: its sequence, members and when that was."""

    at: float = float('-inf')
    sequence: int = 0
    members: dict[str, bool] = field(default_factory=dict)
    aside: frozenset[tuple[str, str]] = frozenset()
    store_age: float = float('inf')
    #: Whether the store failed the hub itself lately.
    trouble: bool = False


@dataclass(slots=True)
class HubChoice:
    """The hubs of this node, itself perhaps among them."""

    membership: Membership
    clock: Clock
    names: list[str] = field(default_factory=list)
    news: dict[str, HubNews] = field(default_factory=dict)
    silent_until: dict[str, float] = field(default_factory=dict)

    def choose(self) -> None:
        """Choose the hubs: large machines first, then in a fixed order."""
        now = self.clock()
        able = [
            member
            for node, member in self.membership.members.items()
            if member.state == LIVE and self.silent_until.get(node, now) <= now
        ]
        able.sort(key=rank)
        self.names = [member.node for member in able[:HUBS]]

    def pass_over(self, node: str) -> None:
        """Leave out a hub that does not answer."""
        self.silent_until[node] = self.clock() + PASSED_OVER_SECONDS
        self.news.pop(node, None)
        self.choose()

    def others(self) -> list[str]:
        """Return the hubs to beat to."""
        own = self.membership.own.node
        return [node for node in self.names if node != own]

    def is_hub(self) -> bool:
        """Return whether this node is one of its own hubs."""
        return self.membership.own.node in self.names

    def by_preference(self) -> list[str]:
        """Return the hubs to ask, this node or one that is heard first."""
        own = self.membership.own.node
        return sorted(
            self.names, key=lambda node: node != own and not self.hears(node)
        )

    def hears(self, node: str) -> bool:
        """Return whether a hub told something lately."""
        told = self.news.get(node)
        return told is not None and self.clock() - told.at < LIVE_SECONDS

    def primary(self) -> HubNews | None:
        """Return the news of the first hub that is heard."""
        for node in self.names:
            if self.hears(node):
                return self.news[node]
        return None

    def in_trouble(self, *, failed: bool) -> bool:
        """Return whether nobody who asks the store gets answers.

        Each tells of its own calls only, so that trouble ends when it ends.
        `failed` says whether this node's own calls failed lately.
        """
        signs = [
            told.trouble for node, told in self.news.items() if self.hears(node)
        ]
        if self.follows_store():
            signs.append(failed)
        return all(signs)

    def follows_store(self) -> bool:
        """Return whether this node must ask the store itself."""
        if self.is_hub():
            return True
        told = self.primary()
        return told is None or told.store_age > STALE_SECONDS


def rank(member: Member) -> tuple[float, int]:
    """Return the place of a member in the order of hubs, lowest first."""
    order = xxh3_64_intdigest(member.node.encode())
    return -round(member.cores, 1), order

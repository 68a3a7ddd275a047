"""Links between the nodes of a deployment, to partition them.

Every node has its own loopback address, at which it listens for its peers and
from which it connects to them, and advertises the address of its link. So each
link can tell which node a connection comes from.
"""

from collections.abc import Collection, Iterable, Mapping, Sequence
from dataclasses import dataclass, field
from itertools import permutations, product

from turmericyard_bench.launch import LOOPBACK, Launcher, RunningProcess

LINK_MODULE = 'turmericyard_bench.standins.link'
#: First three numbers of the nodes' loopback addresses.
PEER_NETWORK = '127.0.1'

#: The node that connects and the node that it connects to.
Way = tuple[str, str]


@dataclass(slots=True)
class PeerLinks:
    """The link in front of each node; empty when peers connect directly."""

    hosts: dict[str, str] = field(default_factory=dict)
    links: dict[str, RunningProcess] = field(default_factory=dict)

    def host(self, node: str) -> str:
        """Return the IP address that a node uses for its peers."""
        return self.hosts.get(node, LOOPBACK)

    def advertised(self, node: str) -> str:
        """Return the `ip:port` of a node's link, or an empty string."""
        link = self.links.get(node)
        return '' if link is None else link.address

    def contact(self, node: str, port: int) -> str:
        """Return the `ip:port` at which peers reach a node."""
        return self.advertised(node) or f'{LOOPBACK}:{port}'

    def set_ways(self, ways: Collection[Way], mode: str) -> None:
        """Set the mode of the ways to `cut` or `stalled`; open all others."""
        for node, link in self.links.items():
            sources = {
                self.hosts[caller]: mode
                for caller, called in ways
                if called == node
            }
            link.control(sources=sources)

    def heal(self) -> None:
        """Open every way."""
        self.set_ways((), 'open')


def start_peer_links(
    launcher: Launcher, peer_links: PeerLinks, ports: Mapping[str, int]
) -> None:
    """Start a link in front of each node, given the nodes' peer ports."""
    for number, (node, port) in enumerate(ports.items(), start=1):
        host = f'{PEER_NETWORK}.{number}'
        peer_links.hosts[node] = host
        peer_links.links[node] = launcher.start_ready(
            f'peer-link-{node}', LINK_MODULE, ('--target', f'{host}:{port}')
        )


def ways_between(sides: Sequence[Iterable[str]]) -> list[Way]:
    """Return all ways from a node of one side to a node of another side."""
    return [
        way
        for one, other in permutations(map(tuple, sides), 2)
        for way in product(one, other)
    ]

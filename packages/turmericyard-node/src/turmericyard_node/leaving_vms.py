"""VMs that are leaving, according to the platform's list or to peers.

The VM list lags, and a node may fail to read it; a report of one node is
enough.
"""

from dataclasses import dataclass, field


@dataclass(slots=True)
class LeavingVms:
    """Names of leaving and gone VMs, by source: the VM list and each peer."""

    listed: frozenset[str] = frozenset()
    by_peer: dict[str, frozenset[str]] = field(default_factory=dict)

    def observe_list(self, names: frozenset[str]) -> None:
        """Replace the names that this node read from the VM list."""
        self.listed = names

    def observe_peer(self, node: str, names: frozenset[str]) -> None:
        """Replace the names that a peer read from the VM list."""
        self.by_peer[node] = names

    def forget_peer(self, node: str) -> None:
        """Drop the names from a peer that no longer answers."""
        self.by_peer.pop(node, None)

    def __contains__(self, vm: str) -> bool:
        return vm in self.listed or any(
            vm in names for names in self.by_peer.values()
        )

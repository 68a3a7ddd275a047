"""Nodes that were refused a permit and are notified when the endpoint is free.

Without the notice each waiting node would have to poll.
"""

from collections import OrderedDict
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Generic, TypeVar

RequestT = TypeVar('RequestT')

#: Largest number of waiting nodes for one endpoint; further nodes get no notice
#: and have to retry.
MAX_WAITING_NODES = 64


@dataclass(slots=True)
class WaitingNodes(Generic[RequestT]):
    """Waiting nodes and their requests, by endpoint, in order of arrival."""

    nodes: dict[str, OrderedDict[str, RequestT]] = field(default_factory=dict)

    def add(self, endpoint: str, node: str, request: RequestT) -> None:
        """Add a node; one that waits already keeps its position."""
        waiting = self.nodes.setdefault(endpoint, OrderedDict())
        if node in waiting or len(waiting) < MAX_WAITING_NODES:
            waiting[node] = request

    def remove(self, endpoint: str, node: str) -> None:
        """Remove a node that got a permit."""
        self.nodes.get(endpoint, OrderedDict()).pop(node, None)

    def pop_ready(
        self, endpoint: str, free: int, admits: Callable[[RequestT], bool]
    ) -> list[str]:
        """Remove and return the nodes to notify, at most `free` of them.

        Only nodes whose request would be admitted now are returned.
        """
        waiting = self.nodes.get(endpoint, OrderedDict())
        ready = [node for node, request in waiting.items() if admits(request)]
        notified = ready[: max(free, 0)]
        for node in notified:
            waiting.pop(node)
        return notified

"""Tells whether a hub knows the load that its nodes put on endpoints."""

from dataclasses import dataclass

from turmericyard_node.forwarding.fleet import HEARTBEAT_SECONDS, Fleet
from turmericyard_node.members import LIVE

#: Time as a hub after which the load counts as known, in seconds: a live node
#: has sent two heartbeats, and one that has sent none has ended.
KNOWN_AFTER_SECONDS = 2 * HEARTBEAT_SECONDS + 0.1
#: Time after a question of another node for which this one counts as a hub, in
#: seconds.
FORGET_SECONDS = 2.0


@dataclass(slots=True)
class HubLoad:
    """When this node became a hub, and when it was asked last."""

    fleet: Fleet
    hub_since: float
    asked_at: float = float('-inf')

    def observe_role(self) -> None:
        """Note whether this node is a hub; to be called at least each second.

        Other nodes may take it for a hub before it does so itself.
        """
        now = self.fleet.clock()
        is_asked = now - self.asked_at < FORGET_SECONDS
        if not is_asked and not self.fleet.hub_choice.is_hub():
            self.hub_since = now

    def is_known(self) -> bool:
        """Return whether every live node has sent a heartbeat.

        A hub that has just become first would otherwise take the endpoints to
        be idle.
        """
        self.asked_at = self.fleet.clock()
        if self.asked_at - self.hub_since >= KNOWN_AFTER_SECONDS:
            return True
        heartbeats = self.fleet.hub.last_heartbeats
        return all(
            node in heartbeats
            for node, member in self.fleet.membership.members.items()
            if member.state == LIVE and node != self.fleet.own.node
        )

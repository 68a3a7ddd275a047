"""Heartbeat exchange and gossip about the liveness of other nodes.

Small fleets exchange heartbeats between all pairs. In larger fleets each node
asks a few random peers, and every heartbeat carries gossip: the age of the last
contact with some other nodes, as known to the sender. Liveness only guides choices such as
placement; no limit depends on it.
"""

from collections.abc import Mapping, Sequence
from dataclasses import dataclass
from random import Random

#: Largest number of peers for which all pairs exchange heartbeats.
FULL_MESH_PEERS = 15
#: Largest number of peers that are all asked within one interval. With more
#: peers a round lasts longer, so that the requests a second don't increase.
MAX_PEERS_PER_INTERVAL = 8
#: Random peers asked in each round of a larger fleet.
FANOUT = 3
#: Gossip entries in one heartbeat of a larger fleet.
GOSSIP_ENTRIES = 12
#: Length of a round in a larger fleet, in intervals.
LARGE_FLEET_ROUND_INTERVALS = 2.0
#: Expected updates about a node that may be missed before it counts as silent.
MISSED_UPDATES = 8.0
TENTHS_PER_SECOND = 10

#: A node and the age of the last known contact with it, in tenths of a second.
GossipEntry = tuple[str, int]


@dataclass(frozen=True, slots=True)
class HeartbeatPlan:
    """Parameters of the heartbeat exchange for the size of the fleet.

    A peer counts as silent after `peer_timeout_seconds` without contact. `fanout`
    is the number of peers that a node asks in one round, `gossip_entries` the
    number of gossip entries in one heartbeat.
    """

    interval_seconds: float
    peer_timeout_seconds: float
    fanout: int
    gossip_entries: int


def plan_heartbeats(
    peers: int, interval_seconds: float, peer_timeout_seconds: float
) -> HeartbeatPlan:
    """Return the plan for a number of peers.

    When all pairs exchange heartbeats, a longer round does not change the peer
    timeout. In a larger fleet a node takes part in twice `FANOUT` exchanges a
    round, and each of them brings gossip about `GOSSIP_ENTRIES` peers.
    """
    if peers <= FULL_MESH_PEERS:
        round_intervals = max(1, peers / MAX_PEERS_PER_INTERVAL)
        return HeartbeatPlan(
            interval_seconds * round_intervals, peer_timeout_seconds, peers, 0
        )
    interval = interval_seconds * LARGE_FLEET_ROUND_INTERVALS
    updates = 2 * FANOUT * GOSSIP_ENTRIES
    rounds = MISSED_UPDATES * peers / updates
    return HeartbeatPlan(
        interval,
        peer_timeout_seconds + rounds * interval,
        FANOUT,
        GOSSIP_ENTRIES,
    )


def choose_peers(
    peers: Sequence[str], plan: HeartbeatPlan, source: Random
) -> list[str]:
    """Return the peers to ask for a heartbeat in this round."""
    if plan.fanout >= len(peers):
        return list(peers)
    return source.sample(list(peers), plan.fanout)


def select_gossip(
    last_contact_at: Mapping[str, float],
    plan: HeartbeatPlan,
    now: float,
    source: Random,
) -> tuple[GossipEntry, ...]:
    """Return gossip entries about randomly chosen live peers.

    An age is rounded up, so that a node never seems more recently alive.
    """
    if not plan.gossip_entries:
        return ()
    live_since = now - plan.peer_timeout_seconds
    live = [node for node, at in last_contact_at.items() if at > live_since]
    if len(live) > plan.gossip_entries:
        live = source.sample(live, plan.gossip_entries)
    return tuple(
        (node, int((now - last_contact_at[node]) * TENTHS_PER_SECOND) + 1)
        for node in live
    )


def merge_gossip(
    last_contact_at: dict[str, float],
    entries: Sequence[GossipEntry],
    received_at: float,
) -> None:
    """Update the time of the last contact with each peer, when it is later.

    `received_at` is the time at which the heartbeat was requested or arrived;
    at that time the contact is at least as old as its entry says.
    """
    for node, tenths in entries:
        at = received_at - tenths / TENTHS_PER_SECOND
        if at > last_contact_at.get(node, float('-inf')):
            last_contact_at[node] = at

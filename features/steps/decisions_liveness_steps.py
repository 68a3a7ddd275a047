"""Steps for heartbeats and gossip."""

from random import Random

from behave import then, when
from behave.runner import Context

from turmericyard_decisions.liveness import (
    choose_peers,
    merge_gossip,
    plan_heartbeats,
    select_gossip,
)
from turmericyard_protocol.codec import encode
from turmericyard_protocol.messages import Heartbeat

INTERVAL = 0.5
PEER_TIMEOUT = 3.0
SEED = 11


class Fleet:
    """Nodes that exchange heartbeats in rounds without delay."""

    def __init__(self, size: int) -> None:
        self.names = [f'node-{number}' for number in range(size)]
        self.plan = plan_heartbeats(size - 1, INTERVAL, PEER_TIMEOUT)
        self.source = Random(SEED)
        self.now = 0.0
        self.dead: set[str] = set()
        self.last_contact_at: dict[str, dict[str, float]] = {
            name: {} for name in self.names
        }

    def run(self, rounds: int) -> None:
        for _ in range(rounds):
            self.now += self.plan.interval_seconds
            for name in self.names:
                if name not in self.dead:
                    self.ask(name)

    def ask(self, name: str) -> None:
        peers = [other for other in self.names if other != name]
        for peer in choose_peers(peers, self.plan, self.source):
            if peer not in self.dead:
                self.exchange(name, peer)

    def exchange(self, first: str, second: str) -> None:
        for sender, receiver in ((first, second), (second, first)):
            gossip = select_gossip(
                self.last_contact_at[sender], self.plan, self.now, self.source
            )
            merge_gossip(self.last_contact_at[receiver], gossip, self.now)
        self.last_contact_at[first][second] = self.now

    def live_at(self, name: str) -> set[str]:
        timeout = self.plan.peer_timeout_seconds
        return {
            other
            for other, at in self.last_contact_at[name].items()
            if other != name and self.now - at < timeout
        }


@then('{nodes:d} nodes ask {peers:d} peers a round and carry no gossip')
def step_small(context: Context, nodes: int, peers: int) -> None:
    plan = plan_heartbeats(nodes - 1, INTERVAL, PEER_TIMEOUT)
    assert (plan.fanout, plan.gossip_entries) == (peers, 0)
    assert plan.peer_timeout_seconds == PEER_TIMEOUT


@then(
    'in fleets of {least:d} to {most:d} nodes a node asks at most {bound:d}'
    ' peers a second'
)
def step_few_asked(context: Context, least: int, most: int, bound: int) -> None:
    for nodes in range(least, most + 1):
        plan = plan_heartbeats(nodes - 1, INTERVAL, PEER_TIMEOUT)
        assert plan.fanout / plan.interval_seconds <= bound, plan


@then(
    'up to {nodes:d} nodes a peer counts as silent after {seconds:d} seconds'
    ' and is asked {times:d} times before'
)
def step_asked_before(
    context: Context, nodes: int, seconds: int, times: int
) -> None:
    for peers in range(1, nodes):
        plan = plan_heartbeats(peers, INTERVAL, PEER_TIMEOUT)
        assert plan.peer_timeout_seconds == seconds
        assert plan.interval_seconds * times <= seconds, plan


@when('{nodes:d} nodes exchange heartbeats for {rounds:d} rounds')
def step_exchange(context: Context, nodes: int, rounds: int) -> None:
    context.fleet = Fleet(nodes)
    context.fleet.run(rounds)


@when('one of them dies and the others continue for the peer timeout')
def step_die(context: Context) -> None:
    fleet: Fleet = context.fleet
    fleet.dead.add(fleet.names[0])
    rounds = fleet.plan.peer_timeout_seconds / fleet.plan.interval_seconds
    fleet.run(int(rounds) + 2)


@then('nodes count 99 in 100 others as live, each node at least 95 in 100')
def step_all_live(context: Context) -> None:
    fleet: Fleet = context.fleet
    others = len(fleet.names) - 1
    counts = [len(fleet.live_at(name)) for name in fleet.names]
    assert sum(counts) >= 0.99 * others * len(counts), counts
    assert min(counts) >= 0.95 * others, min(counts)


@then('no node counts the dead one as live')
def step_none_live(context: Context) -> None:
    fleet: Fleet = context.fleet
    for name in set(fleet.names) - fleet.dead:
        assert not fleet.dead & fleet.live_at(name), name


@then(
    'the heartbeats of a node carry at most {bound:d} bytes a second at'
    ' {nodes:d} nodes'
)
def step_bytes(context: Context, bound: int, nodes: int) -> None:
    plan = plan_heartbeats(nodes - 1, INTERVAL, PEER_TIMEOUT)
    gossip = tuple((f'node-{100 + n}', 150) for n in range(plan.gossip_entries))
    message = Heartbeat(10**6, 'live', 10**4, (), gossip)
    exchanges = 2 * plan.fanout / plan.interval_seconds
    assert len(encode(message, 10**6)) * exchanges <= bound

"""How nodes find each other: records in the store, and the seeds."""

from dataclasses import dataclass

import curio
import orjson
from returns.result import Success

from turmericyard_clients.store import Change
from turmericyard_http.client import HttpClient
from turmericyard_node.forwarding.fleet import Fleet
from turmericyard_node.members import MEMBERS_PREFIX, Member, decode_records

SEED_TIMEOUT_SECONDS = 0.5
SEED_INTERVAL_SECONDS = 1.0
#: Time between renewals of the own record, in seconds: two may fail within
#: the record's life.
RENEW_SECONDS = 8.0
MEMBERS_PATH = '/members'


@dataclass(slots=True)
class Discovery:
    """Keeps the own record and finds the others; seeds are `ip:port`."""

    fleet: Fleet
    seeds: tuple[str, ...]

    def observe(self, change: Change) -> None:
        """Take over the record of a member from the store."""
        if not change.key.startswith(MEMBERS_PREFIX):
            return
        node = change.key.removeprefix(MEMBERS_PREFIX)
        if node == self.fleet.own.node:
            return
        if change.value is None:
            if node not in self.fleet.live_members():
                self.forget(node)
            return
        self.add(decode_records((change.value,)))

    def add(self, found: dict[str, Member]) -> None:
        """Take over records of other members."""
        for node, member in found.items():
            if node != self.fleet.own.node:
                self.fleet.membership.members[node] = member
                self.fleet.mesh.addresses[node] = member.peer_address

    def forget(self, node: str) -> None:
        """Drop a member that is neither registered nor heard."""
        self.fleet.membership.members.pop(node, None)
        self.fleet.mesh.addresses.pop(node, None)

    async def run_membership(self) -> None:
        """Keep the own record and look for members until cancelled."""
        while True:
            await self.fleet.membership.renew()
            await curio.sleep(RENEW_SECONDS)

    async def run_seeds(self) -> None:
        """Ask the seeds for members while none is known."""
        while True:
            if not self.fleet.hubs.news and not self.fleet.hub.heard:
                for seed in self.seeds:
                    await self.ask_seed(seed)
            await curio.sleep(SEED_INTERVAL_SECONDS)

    async def ask_seed(self, seed: str) -> None:
        """Take over the members that a seed knows."""
        client = HttpClient(seed)
        answered = await client.request(
            'GET',
            MEMBERS_PATH,
            timeout_seconds=SEED_TIMEOUT_SECONDS,
            fresh=True,
        )
        await client.close()
        if not isinstance(answered, Success):
            return
        try:
            listed = orjson.loads(answered.unwrap().body)
        except ValueError:
            return
        if isinstance(listed, list):
            self.add(decode_records(map(orjson.dumps, listed)))

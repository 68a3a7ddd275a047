"""Discovery of other nodes by records in the store and by seeds."""

from collections.abc import Callable
from dataclasses import dataclass, field

import curio
import orjson
from returns.result import Result, Success

from turmericyard_clients.store import Change
from turmericyard_http.client import HttpClient
from turmericyard_node.events import Event, log_event
from turmericyard_node.forwarding.fleet import Fleet
from turmericyard_node.members import MEMBERS_PREFIX, Member, decode_records
from turmericyard_ports.settings import ForwardingSettings

SEED_TIMEOUT_SECONDS = 0.5
SEED_INTERVAL_SECONDS = 1.0
#: Interval of renewals of this node's record, in seconds: two may fail within
#: the record's life.
RENEW_SECONDS = 8.0
#: Interval of attempts to write this node's record, in seconds.
REGISTER_SECONDS = 1.0
MEMBERS_PATH = '/members'
#: Time for which a member without a record must be silent before it is
#: forgotten, in seconds: nodes reach their next hubs within that time.
FORGET_SECONDS = 4.0
DONE = 'done'


@dataclass(slots=True)
class Discovery:
    """Renews this node's record and finds the others; seeds are `ip:port`."""

    fleet: Fleet
    read_settings: Callable[[], Result[ForwardingSettings, str]]
    seeds: tuple[str, ...]
    #: Since when members without a record in the store are not live.
    absent_since: dict[str, float] = field(default_factory=dict)
    #: `DONE`, or the error of the last reading of the settings.
    outcome: str = DONE

    def observe(self, change: Change) -> None:
        """Apply a change of a member's record in the store."""
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
        """Add or replace records of other members."""
        for node, member in found.items():
            if node != self.fleet.own.node:
                self.fleet.membership.members[node] = member
                self.fleet.mesh.addresses[node] = member.peer_address

    def forget(self, node: str) -> None:
        """Remove a member that is neither registered nor live."""
        self.fleet.membership.members.pop(node, None)
        self.fleet.mesh.addresses.pop(node, None)

    def forget_absent(self, now: float) -> None:
        """Remove members that have no record and were not live for some time.

        The record of a node that ends goes while its last heartbeat counts.
        """
        live = self.fleet.live_members()
        records = self.fleet.platform_state.view.items
        absent = [
            node
            for node in self.fleet.membership.members
            if node not in live
            and node != self.fleet.own.node
            and MEMBERS_PREFIX + node not in records
        ]
        self.absent_since = {
            node: self.absent_since.get(node, now) for node in absent
        }
        for node, since in self.absent_since.items():
            if now - since >= FORGET_SECONDS:
                self.forget(node)

    async def run_membership(self) -> None:
        """Renew this node's record until cancelled.

        A restored store has lost leases and gives their ids out again.
        """
        membership = self.fleet.membership
        restored = self.fleet.platform_state.restored
        while True:
            await membership.renew()
            pause = RENEW_SECONDS if membership.lease else REGISTER_SECONDS
            async with curio.ignore_after(pause):
                await restored.wait()
                restored.clear()
                membership.lease = ''

    async def run_seeds(self) -> None:
        """Query the seeds for members while no hub or node is known.

        The settings are read again first, since they may have changed without
        a signal.
        """
        while True:
            if (
                not self.fleet.hub_choice.reports
                and not self.fleet.hub.last_heartbeats
            ):
                self.refresh_seeds()
                for seed in self.seeds:
                    await self.query_seed(seed)
            self.forget_absent(self.fleet.clock())
            await curio.sleep(SEED_INTERVAL_SECONDS)

    def refresh_seeds(self) -> None:
        """Read the seeds from the current settings.

        The known seeds stay when the settings cannot be read.
        """
        known = (self.outcome, self.seeds)
        read = self.read_settings()
        if isinstance(read, Success):
            self.outcome = DONE
            self.seeds = other_seeds(read.unwrap())
        else:
            self.outcome = read.failure()
        if known != (self.outcome, self.seeds):
            log_event(
                Event.NODE_RELOADED, outcome=self.outcome, seeds=self.seeds
            )

    async def query_seed(self, seed: str) -> None:
        """Add the members that a seed knows."""
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


def other_seeds(settings: ForwardingSettings) -> tuple[str, ...]:
    """Return the seeds without this node."""
    return tuple(seed for seed in settings.seeds if seed != settings.control)

"""The nodes of the fleet: their leased records and their heartbeats.

A record in the store shows that a node exists, a heartbeat that it is alive.
No limit depends on either; they only guide decisions.
"""

from collections.abc import Iterable
from dataclasses import dataclass, field, replace

import msgspec
from returns.result import Success

from turmericyard_clients.store import Store
from turmericyard_http.clock import Clock
from turmericyard_node.clock import sleep_to_tick
from turmericyard_node.contact import ContactTimes

MEMBERS_PREFIX = 'turmericyard/members/'
#: Time between renewals of this node's record, in seconds.
RENEW_SECONDS = 2.0
#: Time between reads of all records in a small fleet, in seconds.
REFRESH_SECONDS = 2.0
#: Number of members up to which the records are read that often.
SMALL_FLEET_MEMBERS = 9
LIVE = 'live'
LEAVING = 'leaving'


@dataclass(frozen=True, slots=True)
class Member:
    """The record of one node; addresses are `ip:port`."""

    node: str
    incarnation: str
    zone: str
    vm: str
    peer_address: str
    caller_address: str
    operator_address: str
    state: str = LIVE
    #: Processor time that the node may use, in cores.
    cores: float = 1


def decode_records(records: Iterable[bytes]) -> dict[str, Member]:
    """Return members by node name; malformed records are skipped."""
    members = {}
    for record in records:
        try:
            member = msgspec.json.decode(record, type=Member)
        except (msgspec.MsgspecError, UnicodeDecodeError, RecursionError):
            continue
        members[member.node] = member
    return members


@dataclass(slots=True)
class Membership:
    """Members known from the store, from peers and from the settings."""

    own: Member
    store: Store
    contact: ContactTimes
    clock: Clock
    ttl_seconds: float
    members: dict[str, Member] = field(default_factory=dict)
    lease: str = ''

    def zone_of(self, node: str) -> str:
        """Return the zone of a member, empty when the node is not known."""
        member = self.members.get(node)
        return member.zone if member else ''

    async def run(self) -> None:
        """Renew this node's record and read the others until cancelled."""
        refresh_at = self.clock()
        while True:
            await self.renew()
            if self.clock() >= refresh_at:
                await self.refresh()
                refresh_at = self.clock() + self.refresh_seconds()
            await sleep_to_tick(RENEW_SECONDS)

    def refresh_seconds(self) -> float:
        """Return the time until the next read of all records.

        It grows with the fleet, so that the load on the store does not grow
        with the square of the fleet's size; peers announce new members
        meanwhile.
        """
        return REFRESH_SECONDS * max(1, len(self.members) / SMALL_FLEET_MEMBERS)

    async def renew(self) -> None:
        """Renew the lease, or write the record under a new lease."""
        if self.lease:
            renewed = await self.store.renew_lease(self.lease)
            if isinstance(renewed, Success):
                return
        granted = await self.store.grant_lease(self.ttl_seconds)
        if not isinstance(granted, Success):
            return
        self.lease = granted.unwrap()
        await self.write_record()

    async def write_record(self) -> None:
        """Write this node's record under the lease."""
        await self.store.write(
            MEMBERS_PREFIX + self.own.node,
            msgspec.json.encode(self.own),
            expected=None,
            lease=self.lease or None,
        )

    async def refresh(self) -> None:
        """Read all records from the store."""
        asked_at = self.clock()
        listed = await self.store.list_prefix(MEMBERS_PREFIX)
        if not isinstance(listed, Success):
            return
        self.contact.record_store_contact(asked_at)
        entries = listed.unwrap().entries
        listed_members = decode_records(entry.value for entry in entries)
        listed_members[self.own.node] = self.own
        self.members = listed_members

    def records(self) -> tuple[bytes, ...]:
        """Return the records of all known members."""
        return tuple(map(msgspec.json.encode, self.members.values()))

    def add_unknown(self, records: Iterable[bytes]) -> None:
        """Add the records of members that are not known yet."""
        self.members = {**decode_records(records), **self.members}

    def observe_state(self, node: str, state: str) -> None:
        """Update a member's state to the one that it announced."""
        known = self.members.get(node)
        if known is not None and known.state != state:
            self.members[node] = replace(known, state=state)

    def is_live(self, node: str, now: float) -> bool:
        """Return whether a member had contact recently and is not leaving."""
        if node == self.own.node:
            return self.own.state == LIVE
        member = self.members.get(node)
        if member is None or member.state != LIVE:
            return False
        return self.contact.has_recent_contact(node, now)

    def live(self, now: float) -> list[Member]:
        """Return the live members, this node included."""
        return [
            member
            for node, member in self.members.items()
            if self.is_live(node, now)
        ]

    async def announce_leaving(self) -> None:
        """Write to the store that this node takes no new work."""
        self.own = replace(self.own, state=LEAVING)
        self.members[self.own.node] = self.own
        await self.write_record()

    async def leave(self) -> None:
        """Revoke the lease, which removes this node's record."""
        if self.lease:
            await self.store.revoke_lease(self.lease)

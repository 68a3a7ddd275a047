"""Opens this node's connections to endpoints, directly or through a peer.

A node may be cut off from endpoints that its peers reach. Only the connection
leads through a peer then: the node itself places, sends and repeats requests
and judges the answers, as over a direct connection.
"""

from collections.abc import Callable
from dataclasses import dataclass, field
from random import Random
from typing import Any

import curio
from returns.result import Failure, Result, Success

from turmericyard_decisions.direct_paths import DirectPaths
from turmericyard_http.clock import Clock
from turmericyard_http.connection import ClientConnection, Connect, connect
from turmericyard_http.response_bodies import ResponseBodies
from turmericyard_node.events import Event, log_event
from turmericyard_node.members import Member
from turmericyard_node.peers.mesh import PeerMesh
from turmericyard_node.peers.tunnel import open_tunnel
from turmericyard_protocol.tunnel_messages import TunnelFailure

#: Time for a direct connection before a peer is asked, in seconds: many round
#: trips between zones, and a small part of a plain call's latency target.
DIRECT_SECONDS = 0.06
#: A direct attempt that took longer than this waited for this node itself, in
#: seconds.
STALLED_SECONDS = 0.12
#: Time for which a peer that did not reach an endpoint is asked last, in seconds.
AVOID_SECONDS = 1.5
#: Peers that are asked for one connection.
MAX_PEERS = 2


class PathBlocked(OSError):
    """Neither this node nor its peers have a path to the endpoint."""


@dataclass(slots=True)
class EndpointPaths:
    """The ways from this node to endpoints.

    `dial` connects directly. `relays` returns the peers that may reach
    endpoints for this node, `zone_of` the zone of an endpoint's address.
    """

    mesh: PeerMesh
    own: Member
    clock: Clock
    relays: Callable[[], list[Member]]
    zone_of: Callable[[str], str]
    #: Set when this node is cut off from all endpoints, or is so no longer.
    changed: Any
    dial: Connect = connect
    #: Memory of the answers on connections to endpoints.
    bodies: ResponseBodies = field(default_factory=ResponseBodies)
    direct: DirectPaths = field(default_factory=DirectPaths)
    #: Until when each peer is asked last.
    avoided_until: dict[str, float] = field(default_factory=dict)
    random: Random = field(default_factory=Random)
    #: Connections that lead through peers, since the start.
    relayed: int = 0

    @property
    def is_cut_off(self) -> bool:
        """Return whether this node reaches no endpoint by itself."""
        return self.direct.is_cut_off

    async def connect(
        self, address: str, user_timeout_seconds: float = 0
    ) -> ClientConnection:
        """Return a new connection to an endpoint; raises OSError."""
        connection = await self.open(address, user_timeout_seconds)
        connection.bodies = self.bodies
        return connection

    async def open(
        self, address: str, user_timeout_seconds: float
    ) -> ClientConnection:
        """Return a direct connection, or one through a peer; raises OSError.

        Takes as long as a direct attempt takes if no peer can help.
        """
        began_at = self.clock()
        failure: OSError = PathBlocked(f'{address} did not accept in time')
        if self.direct.may_attempt(address, began_at):
            try:
                async with curio.timeout_after(DIRECT_SECONDS):
                    return await self.connect_directly(
                        address, user_timeout_seconds
                    )
            except OSError as error:
                failure = error
            except curio.TaskTimeout:
                if self.clock() - began_at > STALLED_SECONDS:
                    return await self.dial(address, user_timeout_seconds)
        relayed = await self.connect_through_peers(
            address, user_timeout_seconds
        )
        if isinstance(relayed, Success):
            connection: ClientConnection = relayed.unwrap()
            await self.record_blocked(address)
            return connection
        return await self.connect_last(
            address, user_timeout_seconds, relayed.failure(), failure
        )

    async def connect_last(
        self,
        address: str,
        user_timeout_seconds: float,
        relay_failure: TunnelFailure,
        failure: OSError,
    ) -> ClientConnection:
        """Return a direct connection where no peer could tell; raises OSError."""
        if relay_failure is TunnelFailure.REFUSED:
            raise ConnectionRefusedError(f'{address} refuses connections')
        if relay_failure is TunnelFailure.UNREACHABLE:
            raise PathBlocked(f'{address} is not reached by peers either')
        if isinstance(failure, PathBlocked):
            return await self.dial(address, user_timeout_seconds)
        raise failure

    async def connect_directly(
        self, address: str, user_timeout_seconds: float
    ) -> ClientConnection:
        """Return a direct connection; raises OSError."""
        connection = await self.dial(address, user_timeout_seconds)
        was_cut_off = self.is_cut_off
        self.direct.record_connected(address)
        if was_cut_off:
            log_event(Event.NODE_RECONNECTED, address=address)
            await self.changed.set()
        return connection

    async def record_blocked(self, address: str) -> None:
        """Record that a peer reached an endpoint that this node did not."""
        was_cut_off = self.is_cut_off
        if not was_cut_off and address not in self.direct.blocked:
            log_event(Event.PATH_BLOCKED, address=address)
        self.direct.record_blocked(address, self.clock())
        if self.is_cut_off and not was_cut_off:
            log_event(Event.NODE_CUT_OFF, address=address)
            await self.changed.set()

    async def connect_through_peers(
        self, address: str, user_timeout_seconds: float
    ) -> Result[ClientConnection, TunnelFailure]:
        """Return a connection through a peer, or the last peer's failure."""
        failure = TunnelFailure.REJECTED
        for member in self.choose_relays(address)[:MAX_PEERS]:
            self.avoided_until[member.node] = self.clock() + AVOID_SECONDS
            opened = await open_tunnel(
                self.mesh, member.node, address, user_timeout_seconds
            )
            if isinstance(opened, Success):
                self.relayed += 1
                self.avoided_until.pop(member.node, None)
                return opened
            failure = opened.failure()
            if failure is TunnelFailure.REFUSED:
                self.avoided_until.pop(member.node, None)
                return opened
        return Failure(failure)

    def choose_relays(self, address: str) -> list[Member]:
        """Return the peers to ask, those that cross fewer zones first."""
        now = self.clock()
        zone = self.zone_of(address)
        relays = self.relays()
        self.random.shuffle(relays)
        return sorted(
            relays,
            key=lambda member: (
                self.avoided_until.get(member.node, now) > now,
                (member.zone != self.own.zone) + (member.zone != zone),
            ),
        )

    async def is_refused(self, address: str) -> bool:
        """Return whether nothing listens at an endpoint's address."""
        try:
            connection = await self.connect(address)
        except ConnectionRefusedError:
            return True
        except OSError:
            return False
        await connection.close()
        return False

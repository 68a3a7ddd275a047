"""Partitions between single nodes and all runners."""

from dataclasses import dataclass, field
from random import Random
from typing import Any

import curio

from support.fleet.world import World
from turmericyard_http.connection import ClientConnection, Connect
from turmericyard_node.forwarding.application import ForwardingApplication
from turmericyard_node.peers.mesh import open_channels

#: Forms of a cut: everything hangs, open connections are reset and new ones
#: hang, or open ones live on while new ones are refused.
HANG = 'hang'
RESET = 'reset'
REFUSE = 'refuse'
POLL_SECONDS = 0.005
#: Seed of the connections that fall silent.
SEED = 9


@dataclass
class NodeLinks:
    """The connections of one node to runners; `form` is that of its cut."""

    dial: Connect
    form: str = ''
    open: set[Any] = field(default_factory=set)
    #: Direct connections that were opened, and those that were attempted.
    opened: int = 0
    attempted: int = 0

    async def connect(self, address: str, seconds: float) -> ClientConnection:
        self.attempted += 1
        if self.form == REFUSE:
            raise ConnectionRefusedError
        await self.passes()
        connection = await self.dial(address, seconds)
        connection.sock = CutSocket(connection.sock, self)
        self.open.add(connection.sock)
        self.opened += 1
        return connection

    async def passes(self) -> None:
        while self.form in {HANG, RESET}:
            await curio.sleep(POLL_SECONDS)

    async def cut(self, form: str) -> None:
        self.form = form
        if form == RESET:
            for sock in tuple(self.open):
                sock.is_reset = True
                await sock.shutdown(2)

    def heal(self) -> None:
        self.form = ''


@dataclass(eq=False)
class CutSocket:
    """A socket to a runner whose bytes stop while its node is cut off."""

    sock: Any
    links: NodeLinks
    is_reset: bool = False

    async def recv(self, size: int) -> bytes:
        received = await self.sock.recv(size)
        await self.check()
        return received

    async def sendall(self, data: bytes) -> None:
        await self.check()
        await self.sock.sendall(data)

    async def check(self) -> None:
        if self.is_reset:
            raise ConnectionResetError
        if self.links.form == HANG:
            await self.links.passes()

    async def shutdown(self, how: int) -> None:
        await self.sock.shutdown(how)

    async def close(self) -> None:
        self.links.open.discard(self)
        await self.sock.close()

    def fileno(self) -> int:
        return self.sock.fileno()


@dataclass(eq=False)
class SilentSocket:
    """A socket whose bytes are lost in both directions, without an error."""

    sock: Any

    async def recv(self, size: int) -> bytes:
        while True:
            await curio.sleep(POLL_SECONDS)

    async def sendall(self, data: bytes) -> None:
        """Drop the bytes."""

    async def shutdown(self, how: int) -> None:
        """Tell the peer nothing."""

    async def close(self) -> None:
        """Leave the connection open for the peer."""

    def setsockopt(self, *options: Any) -> None:
        self.sock.setsockopt(*options)

    def fileno(self) -> int:
        return self.sock.fileno()


def silence_links(world: World, share: float) -> None:
    """Make a share of the open connections between the nodes silent."""
    random = Random(SEED)
    for node in world.nodes.values():
        for channel in open_channels(node.fleet.mesh):
            if random.random() < share:
                channel.sock = SilentSocket(channel.sock)


def watch_links(node: ForwardingApplication) -> NodeLinks:
    """Put a node's connections to runners under the control of a test."""
    fleet = node.fleet
    links = NodeLinks(fleet.paths.dial)
    fleet.paths.dial = links.connect
    fleet.tunnels.dial = links.connect
    return links

"""Steps for connections to endpoints through a peer."""

import select
from dataclasses import dataclass, field
from random import Random
from typing import Any

import curio
from behave import given, then, when
from behave.runner import Context
from returns.result import Success

from support.fleet.raw_server import open_narrow_listener
from turmericyard_bench.launch import LOOPBACK, free_port
from turmericyard_http.connection import RECEIVE_BYTES
from turmericyard_node.peers.channel import LINGER_ZERO
from turmericyard_node.peers.identity import Identity
from turmericyard_node.peers.mesh import PeerMesh
from turmericyard_node.peers.tunnel import (
    MAX_TUNNELS,
    TunnelServer,
    open_tunnel,
)

SECRET = b'the secret'
PIECE_BYTES = 10_000
#: More bytes than a test lasts for.
UNBOUNDED = 1_000_000_000_000


@dataclass
class RawEndpoint:
    """Sends bytes to each connection, and then ends it in its way."""

    size: int
    ending: str
    sent: int = 0
    #: Random bytes cannot be compressed on their way.
    random: Random = field(default_factory=lambda: Random(1))
    is_closed: bool = False
    #: How long it waits first, and how long it sends at most.
    wait_seconds: float = 0
    send_seconds: float = 10

    async def serve(self, listener: Any) -> None:
        while True:
            sock, _ = await listener.accept()
            await curio.spawn(self.answer, sock, daemon=True)

    async def answer(self, sock: Any) -> None:
        await curio.sleep(self.wait_seconds)
        async with curio.ignore_after(self.send_seconds):
            await self.send(sock)
        if self.ending == 'waits':
            await self.wait_for_end(sock)
        if self.ending == 'resets':
            await curio.sleep(0.1)
            sock.setsockopt(1, 13, LINGER_ZERO)
        await sock.close()

    async def send(self, sock: Any) -> None:
        while self.sent < self.size:
            piece = self.random.randbytes(
                min(PIECE_BYTES, self.size - self.sent)
            )
            await sock.sendall(piece)
            self.sent += len(piece)

    async def wait_for_end(self, sock: Any) -> None:
        """Read nothing until the peer closes its end."""
        while not self.is_closed:
            await curio.sleep(0.02)
            self.is_closed = is_hung_up(sock)


def is_hung_up(sock: Any) -> bool:
    """Return whether the peer has closed its end."""
    poller = select.poll()
    poller.register(sock.fileno(), select.POLLRDHUP)
    return bool(poller.poll(0))


@dataclass
class Tunnel:
    """A client and a peer with a server of tunnels, and an endpoint."""

    endpoint: RawEndpoint
    address: str
    server: TunnelServer
    client: PeerMesh
    peer: PeerMesh
    tasks: list[Any] = field(default_factory=list)

    async def open(self) -> Any:
        return await open_tunnel(self.client, 'peer', self.address, 0)

    async def close(self) -> None:
        await self.client.close()
        await self.peer.close()
        for task in self.tasks:
            await task.cancel()


async def ignore(_payload: Any, _sender: str) -> None:
    return None


async def create_tunnel(endpoint: RawEndpoint) -> Tunnel:
    listener, address = open_narrow_listener()
    server = TunnelServer(lambda asked: asked == address)
    peer = PeerMesh(Identity('peer', 'p', SECRET), ignore)
    peer.serve_tunnel = server.serve
    client = PeerMesh(Identity('client', 'c', SECRET), ignore)
    made = Tunnel(endpoint, address, server, client, peer)
    peer_listener, client.addresses['peer'] = open_narrow_listener()
    made.tasks.append(await curio.spawn(endpoint.serve, listener))
    made.tasks.append(await curio.spawn(peer.serve, peer_listener))
    return made


def play(context: Context, scenario: Any) -> None:
    async def whole() -> None:
        tunnel = await create_tunnel(context.endpoint)
        try:
            async with curio.timeout_after(20):
                await scenario(tunnel)
        finally:
            await tunnel.close()

    curio.run(whole)


async def read_all(context: Context, sock: Any) -> None:
    """Read to the end; `context.ending` is how it ended."""
    context.count = 0
    try:
        received = await sock.recv(RECEIVE_BYTES)
        while received:
            context.count += len(received)
            received = await sock.recv(RECEIVE_BYTES)
        context.ending = 'orderly'
    except ConnectionResetError:
        context.ending = 'reset'


@given('a tunnel to an endpoint that sends for {seconds:g} seconds and resets')
def step_tunnel_held_up(context: Context, seconds: float) -> None:
    context.endpoint = RawEndpoint(UNBOUNDED, 'resets', send_seconds=seconds)


@given(
    'a tunnel to an endpoint that sends {size:d} bytes after {seconds:g} seconds'
    ' and waits'
)
def step_tunnel_late(context: Context, size: int, seconds: float) -> None:
    context.endpoint = RawEndpoint(size, 'waits', wait_seconds=seconds)


@given('a tunnel to an endpoint that sends {size:d} bytes and {ending}')
def step_tunnel(context: Context, size: int, ending: str) -> None:
    context.endpoint = RawEndpoint(size, ending)


@when('the bytes are read through the tunnel')
def step_read(context: Context) -> None:
    async def scenario(tunnel: Tunnel) -> None:
        connection = (await tunnel.open()).unwrap()
        await read_all(context, connection.sock)
        await connection.close()

    play(context, scenario)


@when('the peer ends while the bytes are read through the tunnel')
def step_peer_ends(context: Context) -> None:
    async def scenario(tunnel: Tunnel) -> None:
        connection = (await tunnel.open()).unwrap()
        reading = await curio.spawn(read_all, context, connection.sock)
        await curio.sleep(0.2)
        await tunnel.peer.close()
        await reading.join()

    play(context, scenario)


@when('{size:d} bytes are sent, and the tunnel is read a second later')
def step_read_late(context: Context, size: int) -> None:
    async def scenario(tunnel: Tunnel) -> None:
        connection = (await tunnel.open()).unwrap()
        # Bytes that can be compressed would not hold the sender up.
        sent = tunnel.endpoint.random.randbytes(size)
        sending = await curio.spawn(connection.sock.sendall, sent)
        await curio.sleep(1)
        await read_all(context, connection.sock)
        await sending.cancel()
        await connection.close()

    play(context, scenario)


@then('all {size:d} bytes came and the end was orderly')
def step_whole(context: Context, size: int) -> None:
    assert (context.count, context.ending) == (size, 'orderly')


@then('the connection was reset')
def step_reset(context: Context) -> None:
    assert context.ending == 'reset', (context.count, context.ending)


@when('nothing is read from the tunnel for 1 second')
def step_unread(context: Context) -> None:
    async def scenario(tunnel: Tunnel) -> None:
        connection = (await tunnel.open()).unwrap()
        await curio.sleep(1)
        context.sent = context.endpoint.sent
        await connection.close()

    play(context, scenario)


@then('the endpoint could send no more than {size:d} bytes')
def step_held_back(context: Context, size: int) -> None:
    assert 0 < context.sent <= size, context.sent


@when('the tunnel is closed')
def step_closed(context: Context) -> None:
    async def scenario(tunnel: Tunnel) -> None:
        connection = (await tunnel.open()).unwrap()
        await connection.sock.recv(RECEIVE_BYTES)
        await connection.close()
        await curio.sleep(0.5)
        context.open_tunnels = tunnel.server.open_tunnels

    play(context, scenario)


@then("the endpoint's connection is closed within 0.5 seconds")
def step_closed_behind(context: Context) -> None:
    assert context.endpoint.is_closed
    assert not context.open_tunnels


@when('{size:d} bytes are sent while the endpoint reads none')
def step_send(context: Context, size: int) -> None:
    async def scenario(tunnel: Tunnel) -> None:
        connection = (await tunnel.open()).unwrap()
        # Bytes that can be compressed would not hold the sender up.
        sent = tunnel.endpoint.random.randbytes(size)
        sending = await curio.spawn(connection.sock.sendall, sent)
        received = await connection.sock.recv(RECEIVE_BYTES)
        context.count = len(received)
        await sending.cancel()
        await connection.close()

    play(context, scenario)


@then('{size:d} bytes came')
def step_came(context: Context, size: int) -> None:
    assert context.count == size, context.count


async def never(_address: str, _seconds: float) -> Any:
    await curio.sleep(1000)


def reject(_address: str) -> bool:
    return False


@given('a peer that {case}')
def step_peer(context: Context, case: str) -> None:
    context.endpoint = RawEndpoint(10, 'closes')
    context.case = case


def prepare(tunnel: Tunnel, case: str) -> None:
    if case == 'reaches no such endpoint':
        tunnel.address = f'{LOOPBACK}:{free_port()}'
        tunnel.server.is_served = bool
    elif case == 'gets no answer':
        tunnel.server.dial = never
    elif case == 'does not know the endpoint':
        tunnel.server.is_served = reject
    elif case == 'has too many tunnels':
        tunnel.server.open_tunnels = MAX_TUNNELS
    else:
        tunnel.client.addresses['peer'] = f'{LOOPBACK}:{free_port()}'


@when('a tunnel is requested from it')
def step_request(context: Context) -> None:
    async def scenario(tunnel: Tunnel) -> None:
        prepare(tunnel, context.case)
        context.opened = await tunnel.open()

    play(context, scenario)


@then('the request fails as {failure}')
def step_fails(context: Context, failure: str) -> None:
    assert not isinstance(context.opened, Success)
    assert context.opened.failure().value == failure

"""Steps for links between two nodes in one process."""

import socket
from contextlib import suppress
from typing import Any

import curio
from behave import given, then, when
from behave.runner import Context
from returns.pipeline import is_successful

from turmericyard_http.server import listener_port, open_listener
from turmericyard_node.peers.identity import Identity
from turmericyard_node.peers.mesh import PeerMesh
from turmericyard_protocol.messages import Acknowledged, Heartbeat

HEARTBEAT = Heartbeat(1, 'live', 0)


async def acknowledge(_payload: Any, _sender: str) -> Acknowledged:
    return Acknowledged()


@given('two nodes that are linked')
def step_meshes(context: Context) -> None:
    names = ('first', 'second')
    context.meshes = [
        PeerMesh(Identity(name, 'i', b'secret'), acknowledge, watches_ends=True)
        for name in names
    ]


@when('the first drops the link {count:d} times while it waits for replies')
def step_drop(context: Context, count: int) -> None:
    first, second = context.meshes
    context.answers = []

    async def run() -> None:
        listener = open_listener('127.0.0.1', 0)
        first.addresses['second'] = f'127.0.0.1:{listener_port(listener)}'
        server = await curio.spawn(second.serve, listener)
        for _ in range(count):
            context.answers.append(await first.request('second', HEARTBEAT))
            await curio.sleep(0)
            await first.drop('second')
        await first.close()
        await second.close()
        await server.cancel()

    curio.run(run)


@then('each time a new request over a new link is answered')
def step_answered(context: Context) -> None:
    assert len(context.answers) == 50
    for answer in context.answers:
        assert answer.unwrap() == Acknowledged()


async def end_process(meshes: list[PeerMesh], server: curio.Task) -> None:
    await server.cancel()
    await meshes[1].close()


async def end_with_unread(meshes: list[PeerMesh], server: curio.Task) -> None:
    """End a process as its kernel does: streams with unread bytes reset."""
    busy = max(meshes[1].accepted, key=lambda each: each.bytes_received)
    busy.reset_on_close = True
    await end_process(meshes, server)


async def close_link(meshes: list[PeerMesh], server: curio.Task) -> None:
    await server.cancel()
    await meshes[1].tasks.cancel_all()


async def drop_link(meshes: list[PeerMesh], server: curio.Task) -> None:
    await meshes[0].drop('second')
    await server.cancel()


async def end_stream(meshes: list[PeerMesh], server: curio.Task) -> None:
    for channel in tuple(meshes[1].accepted):
        await channel.abort()


async def link_and_end(meshes: list[PeerMesh], ending: Any) -> None:
    """Link the nodes, bring about an ending, and let the first ask again."""
    first, second = meshes
    listener = open_listener('127.0.0.1', 0)
    first.addresses['second'] = f'127.0.0.1:{listener_port(listener)}'
    server = await curio.spawn(second.serve, listener)
    answered = await first.request('second', HEARTBEAT)
    assert answered.unwrap() == Acknowledged()
    await ending(meshes, server)
    link = first.links.get('second')
    while link is not None and not link.closed:
        await curio.sleep(0)
    await first.request('second', HEARTBEAT)
    await first.close()
    await second.close()
    await server.cancel()


@when('the process of the second ends')
def step_process_ends(context: Context) -> None:
    curio.run(link_and_end, context.meshes, end_process)


@when('the process of the second ends with messages unread')
def step_process_ends_unread(context: Context) -> None:
    curio.run(link_and_end, context.meshes, end_with_unread)


@when('the second closes the link and new connections are refused')
def step_link_closed(context: Context) -> None:
    curio.run(link_and_end, context.meshes, close_link)


@when('the first drops the link and new connections are refused')
def step_link_dropped(context: Context) -> None:
    curio.run(link_and_end, context.meshes, drop_link)


@when('the stream of the link ends and new connections are accepted')
def step_stream_ends(context: Context) -> None:
    curio.run(link_and_end, context.meshes, end_stream)


@then('the first knows that the second has ended')
def step_ended(context: Context) -> None:
    assert set(context.meshes[0].endings.ended_at) == {'i'}


@then('the first does not know that the second has ended')
def step_not_ended(context: Context) -> None:
    assert not context.meshes[0].endings.ended_at


class CountingRelay:
    """Passes bytes to a port, counts them and cuts its connections."""

    def __init__(self, port: int) -> None:
        self.port = port
        self.counted = 0
        self.open: list[Any] = []

    async def serve(self, listener: Any) -> None:
        async with listener:
            while True:
                near, _ = await listener.accept()
                far = await curio.open_connection('127.0.0.1', self.port)
                self.open += [near, far]
                await curio.spawn(self.carry, near, far, True, daemon=True)
                await curio.spawn(self.carry, far, near, False, daemon=True)

    async def carry(self, source: Any, target: Any, counts: bool) -> None:
        with suppress(OSError):
            while piece := await source.recv(65536):
                self.counted += len(piece) if counts else 0
                await target.sendall(piece)

    async def cut(self) -> None:
        for sock in self.open:
            with suppress(OSError):
                await sock.shutdown(socket.SHUT_RDWR)


@given('two nodes that are linked through a counting relay')
def step_relayed(context: Context) -> None:
    step_meshes(context)


@when('the relay cuts the link {count:d} times between requests')
def step_cut(context: Context, count: int) -> None:
    first, second = context.meshes
    context.counts = []

    async def run() -> None:
        target = open_listener('127.0.0.1', 0)
        front = open_listener('127.0.0.1', 0)
        first.addresses['second'] = f'127.0.0.1:{listener_port(front)}'
        context.relay = CountingRelay(listener_port(target))
        servers = [
            await curio.spawn(second.serve, target),
            await curio.spawn(context.relay.serve, front),
        ]
        for _ in range(count):
            assert is_successful(await first.request('second', HEARTBEAT))
            context.counts.append((first.sent_bytes(), context.relay.counted))
            await context.relay.cut()
            await curio.sleep(0.05)
            context.counts.append((first.sent_bytes(), context.relay.counted))
        await first.close()
        await second.close()
        for server in servers:
            await server.cancel()

    curio.run(run)


@then("the first node's count of bytes never fell")
def step_never_fell(context: Context) -> None:
    told = [sent for sent, _ in context.counts]
    assert told == sorted(told), told


@then('it is the count of the relay')
def step_equal_count(context: Context) -> None:
    for sent, counted in context.counts:
        assert sent == counted, context.counts

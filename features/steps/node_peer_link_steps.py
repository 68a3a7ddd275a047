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
        PeerMesh(
            Identity(name, 'i', b'secret'), acknowledge, detects_exits=True
        )
        for name in names
    ]


@when('the first closes the link {count:d} times while it waits for replies')
def step_close(context: Context, count: int) -> None:
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


@then('each time a request over a new link is answered')
def step_answered(context: Context) -> None:
    assert len(context.answers) == 50
    for answer in context.answers:
        assert answer.unwrap() == Acknowledged()


async def exit_process(meshes: list[PeerMesh], server: curio.Task) -> None:
    await server.cancel()
    await meshes[1].close()


async def exit_with_unread(meshes: list[PeerMesh], server: curio.Task) -> None:
    """End a process as the kernel does: reset streams with unread bytes."""
    busy = max(meshes[1].accepted, key=lambda each: each.bytes_received)
    busy.reset_on_close = True
    await exit_process(meshes, server)


async def close_link_from_second(
    meshes: list[PeerMesh], server: curio.Task
) -> None:
    await server.cancel()
    await meshes[1].tasks.cancel_all()


async def close_link_from_first(
    meshes: list[PeerMesh], server: curio.Task
) -> None:
    await meshes[0].drop('second')
    await server.cancel()


async def end_stream(meshes: list[PeerMesh], server: curio.Task) -> None:
    for channel in tuple(meshes[1].accepted):
        await channel.abort()


async def link_and_end(meshes: list[PeerMesh], ending: Any) -> None:
    """Link the nodes, run `ending`, and send a request from the first."""
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


@when('the process of the second exits')
def step_process_exits(context: Context) -> None:
    curio.run(link_and_end, context.meshes, exit_process)


@when('the process of the second exits with unread messages')
def step_process_exits_unread(context: Context) -> None:
    curio.run(link_and_end, context.meshes, exit_with_unread)


@when('the second closes the link and new connections are refused')
def step_link_closed_by_second(context: Context) -> None:
    curio.run(link_and_end, context.meshes, close_link_from_second)


@when('the first closes the link and new connections are refused')
def step_link_closed_by_first(context: Context) -> None:
    curio.run(link_and_end, context.meshes, close_link_from_first)


@when('the stream of the link ends and new connections are accepted')
def step_stream_ends(context: Context) -> None:
    curio.run(link_and_end, context.meshes, end_stream)


@then('the first detects that the second has exited')
def step_exited(context: Context) -> None:
    assert set(context.meshes[0].exit_detector.exited_at) == {'i'}


@then('the first does not detect that the second has exited')
def step_not_exited(context: Context) -> None:
    assert not context.meshes[0].exit_detector.exited_at


class CountingRelay:
    """Forwards bytes to a port, counts them and cuts its connections."""

    def __init__(self, port: int) -> None:
        self.port = port
        self.counted = 0
        self.open: list[Any] = []

    async def serve(self, listener: Any) -> None:
        async with listener:
            while True:
                inbound, _ = await listener.accept()
                outbound = await curio.open_connection('127.0.0.1', self.port)
                self.open += [inbound, outbound]
                await curio.spawn(
                    self.forward, inbound, outbound, True, daemon=True
                )
                await curio.spawn(
                    self.forward, outbound, inbound, False, daemon=True
                )

    async def forward(self, source: Any, target: Any, counts: bool) -> None:
        with suppress(OSError):
            while chunk := await source.recv(65536):
                self.counted += len(chunk) if counts else 0
                await target.sendall(chunk)

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
        relay_listener = open_listener('127.0.0.1', 0)
        first.addresses['second'] = f'127.0.0.1:{listener_port(relay_listener)}'
        context.relay = CountingRelay(listener_port(target))
        servers = [
            await curio.spawn(second.serve, target),
            await curio.spawn(context.relay.serve, relay_listener),
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


@then("the first node's count of bytes never decreased")
def step_never_decreased(context: Context) -> None:
    byte_counts = [sent for sent, _ in context.counts]
    assert byte_counts == sorted(byte_counts), byte_counts


@then("it equals the relay's count")
def step_equal_count(context: Context) -> None:
    for sent, counted in context.counts:
        assert sent == counted, context.counts

"""Steps for an HTTP server that shuts down while requests reach it.

Clients are plain sockets. What they send before the shutdown starts is still in
the kernel's queues then, because the server's tasks do not run in between.
"""

import errno
import select
import socket
from collections.abc import Callable
from dataclasses import replace
from typing import Any

import curio
from behave import given, then, when
from behave.runner import Context

from turmericyard_http.answer_writer import Limits
from turmericyard_http.messages import Request, Response, json_response
from turmericyard_http.server import HttpServer, listener_port, open_listener

HOST = '127.0.0.1'
LIMITS = Limits(
    handshake_seconds=0,
    body_bytes=2000,
    last_request_seconds=3,
    unfinished_request_seconds=0.5,
    linger_seconds=5,
)
SLOW_SECONDS = 0.3
#: Time from the start of the shutdown to a request that is sent soon after.
SOON_SECONDS = 0.2
#: Time limit of the shutdown.
SHUTDOWN_SECONDS = 20
POST = b'POST /%b HTTP/1.1\r\nHost: a\r\nContent-Length: 4\r\n\r\n'
TEXT = b'text'
TOO_LARGE_HEAD = b'POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 900000\r\n\r\n'
LARGE_BODY = b'x' * 900_000


async def answer(request: Request) -> Response:
    if request.path == '/slow':
        await curio.sleep(SLOW_SECONDS)
    return json_response(200, request.body.decode())


class ShutdownScene:
    """A server under shutdown and the bytes that each client read."""

    def __init__(self, server: HttpServer) -> None:
        self.server = server
        self.port = listener_port(server.listener)
        self.replies: list[bytes] = []
        self.connect_error = 0

    def client(self) -> socket.socket:
        return socket.create_connection((HOST, self.port))

    async def keep_alive_client(self) -> socket.socket:
        client = self.client()
        client.sendall(POST % b'' + TEXT)
        reply = await curio.run_in_thread(client.recv, 4096)
        assert b'200' in reply, reply
        return client

    async def start_shutdown(self) -> Any:
        """Start the shutdown and return its task.

        Unless the server waits for handshakes, its accept queue is drained.
        """
        task = await curio.spawn(self.server.finish, SHUTDOWN_SECONDS)
        await curio.sleep(0)
        return task

    async def read(self, *clients: socket.socket) -> None:
        for client in clients:
            self.replies.append(await curio.run_in_thread(read_all, client))


def read_all(client: socket.socket) -> bytes:
    """Return all bytes up to the end; raises OSError when reset."""
    client.settimeout(SHUTDOWN_SECONDS)
    reply = b''
    with client:
        while piece := client.recv(4096):
            reply += piece
    return reply


def run(context: Context, scenario: Callable[..., Any], *args: Any) -> None:
    async def serve() -> None:
        server = HttpServer(open_listener(HOST, 0), answer, LIMITS)
        serving = await curio.spawn(server.run)
        await curio.sleep(0)
        context.scene = ShutdownScene(server)
        try:
            await scenario(context.scene, *args)
        finally:
            await serving.cancel()

    curio.run(serve)


@given('an HTTP server that is about to shut down')
def step_server(context: Context) -> None:
    context.scene = None


async def queued(scene: ShutdownScene, count: int = 1) -> None:
    clients = [scene.client() for _ in range(count)]
    for client in clients:
        client.sendall(POST % b'' + TEXT)
    scene.server.limits = replace(LIMITS, linger_seconds=0)
    await scene.server.finish(SHUTDOWN_SECONDS)
    assert len(scene.server.queued_sockets) == count
    await scene.read(*clients)


async def keep_alive(scene: ShutdownScene) -> None:
    client = await scene.keep_alive_client()
    client.sendall(POST % b'' + TEXT)
    task = await scene.start_shutdown()
    await scene.read(client)
    await task.join()


async def not_yet_accepted(scene: ShutdownScene) -> None:
    client = scene.client()
    task = await scene.start_shutdown()
    await curio.sleep(SOON_SECONDS)
    client.sendall(POST % b'' + TEXT)
    await scene.read(client)
    await task.join()


async def keep_alive_soon_after(scene: ShutdownScene) -> None:
    client = await scene.keep_alive_client()
    task = await scene.start_shutdown()
    await curio.sleep(SOON_SECONDS)
    client.sendall(POST % b'' + TEXT)
    await scene.read(client)
    await task.join()


async def two_parts(scene: ShutdownScene) -> None:
    client = await scene.keep_alive_client()
    client.sendall(POST % b'')
    task = await scene.start_shutdown()
    await curio.sleep(SOON_SECONDS)
    client.sendall(TEXT)
    await scene.read(client)
    await task.join()


async def slow_response(scene: ShutdownScene) -> None:
    client = scene.client()
    client.sendall(POST % b'slow' + TEXT)
    await curio.sleep(SLOW_SECONDS / 3)
    task = await scene.start_shutdown()
    await scene.read(client)
    await task.join()


async def without_request(scene: ShutdownScene) -> None:
    clients = [await scene.keep_alive_client(), scene.client()]
    task = await scene.start_shutdown()
    await scene.read(*clients)
    await task.join()


async def incomplete(scene: ShutdownScene) -> None:
    client = scene.client()
    client.sendall(POST % b'')
    task = await scene.start_shutdown()
    await scene.read(client)
    await task.join()


async def too_large(scene: ShutdownScene) -> None:
    client = scene.client()
    client.sendall(TOO_LARGE_HEAD)
    sending = await curio.spawn(curio.run_in_thread, client.sendall, LARGE_BODY)
    await sending.join()
    task = await scene.start_shutdown()
    await scene.read(client)
    await task.join()


async def late_connect(scene: ShutdownScene) -> None:
    """Connect after the shutdown starts, before the listener is closed."""
    scene.server.limits = replace(LIMITS, handshake_seconds=0.5)
    task = await scene.start_shutdown()
    assert not scene.server.state.shutting_down
    address = (HOST, scene.port)
    with socket.socket() as client:
        client.setblocking(False)
        client.connect_ex(address)
        await task.join()
        await curio.run_in_thread(
            select.select, (), (client,), (), SHUTDOWN_SECONDS
        )
        scene.connect_error = client.getsockopt(
            socket.SOL_SOCKET, socket.SO_ERROR
        )


async def announced_shutdown(scene: ShutdownScene) -> None:
    client = await scene.keep_alive_client()
    scene.server.announce_leaving()
    client.sendall(POST % b'' + TEXT)
    await scene.read(client)


SCENARIOS = {
    'in its accept queue': queued,
    'on a keep-alive connection': keep_alive,
    'soon after on a connection not yet accepted': not_yet_accepted,
    'soon after on a keep-alive connection': keep_alive_soon_after,
    'in two parts, the second soon after': two_parts,
    'before and is answered slowly': slow_response,
}


@when('a request reaches the HTTP server {moment}')
def step_request(context: Context, moment: str) -> None:
    run(context, SCENARIOS[moment])


@when('{count:d} requests reach the HTTP server in its accept queue')
def step_many(context: Context, count: int) -> None:
    run(context, queued, count)


@when('the HTTP server shuts down with open connections without a request')
def step_without_request(context: Context) -> None:
    run(context, without_request)


@when('a client connects while the HTTP server closes its listener')
def step_late(context: Context) -> None:
    run(context, late_connect)


@when('an incomplete request reaches the HTTP server')
def step_incomplete(context: Context) -> None:
    run(context, incomplete)


@when('a request whose body is too large reaches the HTTP server in full')
def step_too_large(context: Context) -> None:
    run(context, too_large)


@when('the HTTP server announces its shutdown and gets a request')
def step_announced(context: Context) -> None:
    run(context, announced_shutdown)


@then('its response is the last one on its connection')
def step_last(context: Context) -> None:
    check_last(context, 1)


@then('all {count:d} are answered')
def step_all(context: Context, count: int) -> None:
    check_last(context, count)


def check_last(context: Context, count: int) -> None:
    assert len(context.scene.replies) == count
    for reply in context.scene.replies:
        assert reply.startswith(b'HTTP/1.1 200'), reply
        assert reply.endswith(b'"text"'), reply
        assert b'connection: close' in reply.lower(), reply


@then('the connections are closed without a byte and without a reset')
def step_clean(context: Context) -> None:
    assert context.scene.replies == [b'', b''], context.scene.replies


@then('a new connection to the HTTP server is refused')
def step_refused(context: Context) -> None:
    try:
        context.scene.client()
    except ConnectionRefusedError:
        return
    raise AssertionError('the listener still accepts')


@then('the connection is refused before any byte was sent')
def step_refused_late(context: Context) -> None:
    assert context.scene.connect_error == errno.ECONNREFUSED, (
        context.scene.connect_error
    )


@then('its response says that the request has not run')
def step_not_run(context: Context) -> None:
    (reply,) = context.scene.replies
    assert b'"outcome":"not-run"' in reply, reply

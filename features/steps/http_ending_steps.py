"""Steps for an HTTP server that ends while requests reach it.

Clients are plain sockets: what they send before the server is told to end lies
in the kernel's queues, because the server's tasks do not run in between.
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
    rest_seconds=0.5,
    linger_seconds=5,
)
SLOW_SECONDS = 0.3
#: Time between the server's end and a request that is sent soon after.
SOON_SECONDS = 0.2
#: Time after which the server's end is given up.
END_SECONDS = 20
POST = b'POST /%b HTTP/1.1\r\nHost: a\r\nContent-Length: 4\r\n\r\n'
TEXT = b'text'
TOO_LARGE = b'POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 900000\r\n\r\n'
REST = b'x' * 900_000


async def answer(request: Request) -> Response:
    if request.path == '/slow':
        await curio.sleep(SLOW_SECONDS)
    return json_response(200, request.body.decode())


class Ending:
    """A server, its clients and what each read; `tell` ends the server."""

    def __init__(self, server: HttpServer) -> None:
        self.server = server
        self.port = listener_port(server.listener)
        self.replies: list[bytes] = []
        self.late = 0

    def client(self) -> socket.socket:
        return socket.create_connection((HOST, self.port))

    async def kept_client(self) -> socket.socket:
        client = self.client()
        client.sendall(POST % b'' + TEXT)
        reply = await curio.run_in_thread(client.recv, 4096)
        assert b'200' in reply, reply
        return client

    async def tell(self) -> Any:
        """Return the task of the end, after the accept queue was closed."""
        ending = await curio.spawn(self.server.finish, END_SECONDS)
        await curio.sleep(0)
        return ending

    async def read(self, *clients: socket.socket) -> None:
        for client in clients:
            self.replies.append(await curio.run_in_thread(read_all, client))


def read_all(client: socket.socket) -> bytes:
    """Return all bytes up to the end; raises when reset."""
    client.settimeout(END_SECONDS)
    reply = b''
    with client:
        while piece := client.recv(4096):
            reply += piece
    return reply


def run(context: Context, scene: Callable[..., Any], *args: Any) -> None:
    async def serve() -> None:
        server = HttpServer(open_listener(HOST, 0), answer, LIMITS)
        serving = await curio.spawn(server.run)
        await curio.sleep(0)
        context.ending = Ending(server)
        try:
            await scene(context.ending, *args)
        finally:
            await serving.cancel()

    curio.run(serve)


@given('an HTTP server that is about to end')
def step_server(context: Context) -> None:
    context.ending = None


async def queued(ending: Ending, count: int = 1) -> None:
    clients = [ending.client() for _ in range(count)]
    for client in clients:
        client.sendall(POST % b'' + TEXT)
    ending.server.limits = replace(LIMITS, linger_seconds=0)
    await ending.server.finish(END_SECONDS)
    assert len(ending.server.waiting) == count
    await ending.read(*clients)


async def kept(ending: Ending) -> None:
    client = await ending.kept_client()
    client.sendall(POST % b'' + TEXT)
    task = await ending.tell()
    await ending.read(client)
    await task.join()


async def follows(ending: Ending) -> None:
    client = ending.client()
    task = await ending.tell()
    await curio.sleep(SOON_SECONDS)
    client.sendall(POST % b'' + TEXT)
    await ending.read(client)
    await task.join()


async def kept_after(ending: Ending) -> None:
    client = await ending.kept_client()
    task = await ending.tell()
    await curio.sleep(SOON_SECONDS)
    client.sendall(POST % b'' + TEXT)
    await ending.read(client)
    await task.join()


async def two_parts(ending: Ending) -> None:
    client = await ending.kept_client()
    client.sendall(POST % b'')
    task = await ending.tell()
    await curio.sleep(SOON_SECONDS)
    client.sendall(TEXT)
    await ending.read(client)
    await task.join()


async def slow(ending: Ending) -> None:
    client = ending.client()
    client.sendall(POST % b'slow' + TEXT)
    await curio.sleep(SLOW_SECONDS / 3)
    task = await ending.tell()
    await ending.read(client)
    await task.join()


async def bare(ending: Ending) -> None:
    clients = [await ending.kept_client(), ending.client()]
    task = await ending.tell()
    await ending.read(*clients)
    await task.join()


async def half(ending: Ending) -> None:
    client = ending.client()
    client.sendall(POST % b'')
    task = await ending.tell()
    await ending.read(client)
    await task.join()


async def too_large(ending: Ending) -> None:
    client = ending.client()
    client.sendall(TOO_LARGE)
    sending = await curio.spawn(curio.run_in_thread, client.sendall, REST)
    await sending.join()
    task = await ending.tell()
    await ending.read(client)
    await task.join()


async def late(ending: Ending) -> None:
    """Connect when the server is told to end and still has its listener."""
    ending.server.limits = replace(LIMITS, handshake_seconds=0.5)
    task = await ending.tell()
    assert not ending.server.state.finishing
    address = (HOST, ending.port)
    with socket.socket() as client:
        client.setblocking(False)
        client.connect_ex(address)
        await task.join()
        await curio.run_in_thread(select.select, (), (client,), (), END_SECONDS)
        ending.late = client.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR)


async def announced(ending: Ending) -> None:
    client = await ending.kept_client()
    ending.server.announce_leaving()
    client.sendall(POST % b'' + TEXT)
    await ending.read(client)


SCENES = {
    'in its accept queue': queued,
    'on a kept connection': kept,
    'on a connection that follows its accept': follows,
    'on a kept connection soon after': kept_after,
    'in two parts, the second soon after': two_parts,
    'before and is answered slowly': slow,
}


@when('a request reaches the HTTP server {moment}')
def step_request(context: Context, moment: str) -> None:
    run(context, SCENES[moment])


@when('{count:d} requests reach the HTTP server in its accept queue')
def step_many(context: Context, count: int) -> None:
    run(context, queued, count)


@when('connections without a request are open')
def step_bare(context: Context) -> None:
    run(context, bare)


@when('a client connects while the HTTP server closes its listener')
def step_late(context: Context) -> None:
    run(context, late)


@when('half a request reaches the HTTP server')
def step_half(context: Context) -> None:
    run(context, half)


@when('a request too large and its rest reach the HTTP server')
def step_too_large(context: Context) -> None:
    run(context, too_large)


@when('the HTTP server announces that it leaves and gets a request')
def step_announced(context: Context) -> None:
    run(context, announced)


@then('it is answered as the last one of its connection')
def step_last(context: Context) -> None:
    check_last(context, 1)


@then('all {count:d} are answered')
def step_all(context: Context, count: int) -> None:
    check_last(context, count)


def check_last(context: Context, count: int) -> None:
    assert len(context.ending.replies) == count
    for reply in context.ending.replies:
        assert reply.startswith(b'HTTP/1.1 200'), reply
        assert reply.endswith(b'"text"'), reply
        assert b'connection: close' in reply.lower(), reply


@then('they end with no byte and no reset')
def step_clean(context: Context) -> None:
    assert context.ending.replies == [b'', b''], context.ending.replies


@then('a new connection to the HTTP server is refused')
def step_refused(context: Context) -> None:
    try:
        context.ending.client()
    except ConnectionRefusedError:
        return
    raise AssertionError('the listener still accepts')


@then('it was refused before any byte was sent')
def step_refused_late(context: Context) -> None:
    assert context.ending.late == errno.ECONNREFUSED, context.ending.late


@then('it is told that its request has not run')
def step_not_run(context: Context) -> None:
    (reply,) = context.ending.replies
    assert b'"outcome":"not-run"' in reply, reply

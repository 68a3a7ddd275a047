"""Steps for the bounds of an HTTP server on its clients."""

from collections.abc import AsyncIterator, Callable
from functools import partial
from typing import Any

import curio
from behave import then, when
from behave.runner import Context

from turmericyard_http.answer_writer import Limits
from turmericyard_http.connection import connect
from turmericyard_http.intake.account import Kind, MemoryAccount
from turmericyard_http.intake.gate import Intake, IntakeLimits
from turmericyard_http.intake.watch import ConnectionWatch
from turmericyard_http.messages import Request, Response, StreamResponse
from turmericyard_http.server import HttpServer, listener_port, open_listener

BODY_BYTES = 262_144
#: Room for one of the longest bodies, with what a second one leaves free.
ACCOUNT_BYTES = 1_000_000
STALL_SECONDS = 1.5
WAIT_SECONDS = 20
#: Long enough for a body to count as slow, and shorter than STALL_SECONDS
#: with one interval of the watch.
SLOW_SECONDS = 1.6
POST = b'POST / HTTP/1.1\r\nHost: a\r\n'
CHUNKED = POST + b'Transfer-Encoding: chunked\r\n\r\n'
CHUNK = b'a' * 65_536
#: More than the buffers of a connection hold, in bytes.
MOST_SENT = 16_777_216
streams: list[Any] = []
END = b'0\r\n\r\n'
TINY = b'2\r\nab\r\n'


def with_length(length: int, missing: int = 0) -> bytes:
    head = POST + b'Content-Length: %d\r\n\r\n' % length
    return head + b'a' * (length - missing)


BODIES: dict[str, tuple[bytes, int]] = {
    'a length': (with_length(5000), 5000),
    'the longest body': (with_length(BODY_BYTES), BODY_BYTES),
    'the longest body, large chunks': (
        CHUNKED + b'10000\r\n%s\r\n' % (b'a' * 65_536) * 4 + END,
        BODY_BYTES,
    ),
    'the longest body, tiny chunks': (
        CHUNKED + TINY * (BODY_BYTES // 2) + END,
        BODY_BYTES,
    ),
    'chunks, extensions and trailers': (
        CHUNKED + b'3;x=y\r\nabc\r\nA \r\n0123\r\n6789\r\n0\r\nx: y\r\n\r\n',
        13,
    ),
    'a chunk size that is no number': (CHUNKED + b'0x3\r\nabc\r\n' + END, 0),
    'a chunk without its line end': (CHUNKED + b'3\r\nabcd\r\n' + END, 0),
    'an endless line of a chunk': (CHUNKED + b'1;' + b'x' * 9000, 0),
    'a length beyond the limit': (with_length(BODY_BYTES + 1), 0),
    'chunks beyond the limit': (
        CHUNKED + b'10000\r\n%s\r\n' % (b'a' * 65_536) * 5 + END,
        0,
    ),
    'a body that stalls': (with_length(5000, 1), 0),
    'a head that stalls': (POST, 0),
}


class Stream:
    """An endless stream that notes when it is closed."""

    def __init__(self) -> None:
        self.closed = False
        self.sent = 0

    async def chunks(self) -> AsyncIterator[bytes]:
        try:
            while True:
                self.sent += len(CHUNK)
                yield CHUNK
        finally:
            self.closed = True


async def answer_length(request: Request) -> Any:
    if request.path == '/stream':
        streams.append(Stream())
        return StreamResponse(200, streams[-1].chunks())
    return Response(200, {}, b'%d' % len(request.body))


def serve(scenario: Callable[[str], Any]) -> None:
    """Run a scenario with the address of a server that has bounds."""

    async def run() -> None:
        intake = Intake(
            IntakeLimits(0, STALL_SECONDS, STALL_SECONDS + 1),
            MemoryAccount(ACCOUNT_BYTES),
        )
        listener = open_listener('127.0.0.1', 0)
        address = f'127.0.0.1:{listener_port(listener)}'
        server = HttpServer(
            listener,
            answer_length,
            Limits(body_bytes=BODY_BYTES, watch_client=True),
            intake,
        )
        watch = ConnectionWatch(intake.account, (intake,))
        tasks = [
            await curio.spawn(each, daemon=True)
            for each in (server.run, watch.run)
        ]
        try:
            async with curio.timeout_after(WAIT_SECONDS):
                await scenario(address)
        finally:
            for task in tasks:
                await task.cancel()
        # What the system holds was counted before the connections closed.
        intake.account.replace(Kind.SYSTEM, 0)
        assert not intake.account.total, intake.account.used

    curio.run(run)


async def send(address: str, sent: bytes, size: int) -> Response:
    """Return the response to raw bytes that are sent in pieces."""
    connection = await connect(address)
    # The client's side of the protocol has to know of a request.
    connection.encode_request(b'GET', b'/', ((b'host', b'a'),), b'')

    async def send_all() -> None:
        for place in range(0, len(sent), size):
            await connection.send_ignoring_errors(sent[place : place + size])
            await curio.sleep(0)

    sending = await curio.spawn(send_all, daemon=True)
    try:
        return await connection.read_response()
    finally:
        await sending.cancel()
        await connection.close()


@when(
    'a request with {body} is sent to a bounded HTTP server in pieces of'
    ' {size:d} bytes'
)
def step_send(context: Context, body: str, size: int) -> None:
    sent, context.length = BODIES[body]

    async def scenario(address: str) -> None:
        context.response = await send(address, sent, size)

    serve(scenario)


@then(
    'its response is {status:d}, and says that it has not run unless it was'
    ' served'
)
def step_response(context: Context, status: int) -> None:
    response = context.response
    assert response.status == status, response
    if status == 200:
        assert response.body == b'%d' % context.length, response
    else:
        assert response.headers['x-outcome'] == 'not-run', response


@when('a body is sent to a bounded HTTP server while another takes its memory')
def step_no_room(context: Context) -> None:
    longest = with_length(BODY_BYTES)

    async def scenario(address: str) -> None:
        other = await connect(address)
        await other.send_ignoring_errors(with_length(BODY_BYTES, 1))
        ask = partial(send, address, longest, BODY_BYTES)
        context.response = await ask()
        await curio.sleep(SLOW_SECONDS)
        context.later = await ask()
        await other.close()

    serve(scenario)


@when(
    'a client of {version} does not read an endless stream of a bounded HTTP'
    ' server'
)
def step_unread(context: Context, version: str) -> None:
    async def scenario(address: str) -> None:
        connection = await connect(address)
        await connection.send_ignoring_errors(
            b'GET /stream %s\r\nHost: a\r\n\r\n' % version.encode()
        )
        while not (streams and streams[-1].closed):
            await curio.sleep(0.05)
        context.stream = streams.pop()
        context.ended = b''
        try:
            while received := await connection.sock.recv(65_536):
                context.ended = received
        except ConnectionResetError:
            context.ended = b'reset'
        await connection.close()

    serve(scenario)
    context.version = version


@then('the stream ends within its memory, and not as complete')
def step_incomplete(context: Context) -> None:
    assert context.stream.sent <= MOST_SENT, context.stream.sent
    assert not context.ended.endswith(END), context.ended[-9:]
    if context.version == 'HTTP/1.0':
        assert context.ended == b'reset', context.ended[-9:]


@then('it names a time to retry')
def step_retry(context: Context) -> None:
    assert float(context.response.headers['retry-after']) > 0


@then('the same body is served after the other one has stalled for a second')
def step_later(context: Context) -> None:
    assert context.later.status == 200, context.later

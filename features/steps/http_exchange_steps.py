"""Steps for the HTTP server and client over loopback."""

from collections.abc import AsyncIterator, Callable, Coroutine
from typing import Any

import curio
from behave import given, then, when
from behave.runner import Context

from support.fleet.raw_server import serve_raw
from turmericyard_http.answer_writer import Limits
from turmericyard_http.client import HttpClient, create_client
from turmericyard_http.messages import (
    Request,
    Response,
    StreamResponse,
    json_response,
)
from turmericyard_http.server import (
    listener_port,
    open_listener,
    serve_http,
)

RAW_REQUESTS = {
    'garbage': b'no http at all\r\n\r\n',
    'oversized headers': b'GET / HTTP/1.1\r\nX: ' + b'x' * 20_000,
    'oversized body': (
        b'POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 3000\r\n\r\n'
        + b'x' * 3000
    ),
}
HOST = '127.0.0.1'
FIRST = b'HTTP/1.1 200 OK\r\ncontent-length: 5\r\n\r\nfirst'
SECOND = b'HTTP/1.1 200 OK\r\ncontent-length: 6\r\n\r\nsecond'


class EchoServer:
    """Echoes request bodies, streams on some paths and counts requests."""

    def __init__(self) -> None:
        self.closed = False
        self.requests = 0

    async def endless(self) -> AsyncIterator[bytes]:
        try:
            while True:
                yield b'piece'
                await curio.sleep(0.005)
        finally:
            self.closed = True

    async def quiet(self) -> AsyncIterator[bytes]:
        yield b'piece'
        await curio.sleep(1000)

    async def handle(self, request: Request) -> Response | StreamResponse:
        self.requests += 1
        if request.path == '/stream':
            return StreamResponse(200, self.endless())
        if request.path == '/quiet':
            return StreamResponse(200, self.quiet())
        if request.body == b'slow':
            await curio.sleep(0.5)
        return json_response(200, request.body.decode())


def run_with_server(
    context: Context,
    client_side: Callable[[HttpClient], Coroutine[Any, Any, Any]],
) -> Any:
    async def run() -> Any:
        listener = open_listener(HOST, 0)
        address = f'{HOST}:{listener_port(listener)}'
        limits = Limits(body_bytes=2000)
        server = await curio.spawn(
            serve_http, listener, context.echo.handle, limits
        )
        try:
            return await client_side(create_client(address))
        finally:
            await server.cancel()

    return curio.run(run)


@given('an HTTP server on a free port')
def step_server(context: Context) -> None:
    context.echo = EchoServer()


@when('the HTTP client posts "{first}" and then "{second}"')
def step_post_two(context: Context, first: str, second: str) -> None:
    post_two(context, first, second, timeout=5)


@when(
    'the HTTP client posts "{first}" with a timeout of {timeout:f} seconds'
    ' and then "{second}"'
)
def step_post_timeout(
    context: Context, first: str, timeout: float, second: str
) -> None:
    post_two(context, first, second, timeout)


def post_two(context: Context, first: str, second: str, timeout: float) -> None:
    async def client_side(client: HttpClient) -> list[Any]:
        responses = []
        context.connections = set()
        for text in (first, second):
            responses.append(
                await client.request(
                    'POST',
                    '/',
                    body=text.encode(),
                    timeout_seconds=timeout,
                )
            )
            context.connections.update(id(each) for each in client.idle)
        context.idle_count = len(client.idle)
        return responses

    context.responses = run_with_server(context, client_side)


@when('the HTTP client posts "{text}" to a closed port')
def step_closed_port(context: Context, text: str) -> None:
    async def run() -> Any:
        listener = open_listener(HOST, 0)
        port = listener_port(listener)
        await listener.close()
        client = create_client(f'{HOST}:{port}')
        return await client.request('POST', '/', body=text.encode())

    context.responses = [curio.run(run)]


@when('the HTTP client reads 2 pieces of an endless stream and closes it')
def step_stream(context: Context) -> None:
    async def client_side(client: HttpClient) -> None:
        stream = (await client.open_stream('GET', '/stream')).unwrap()
        assert await stream.read() == b'piece'
        assert await stream.read() == b'piece'
        await stream.close()
        for _ in range(200):
            if context.echo.closed:
                return
            await curio.sleep(0.01)

    run_with_server(context, client_side)


@when('the HTTP client aborts a stream while a read waits')
def step_abort(context: Context) -> None:
    async def read_forever(stream) -> str:
        try:
            while await stream.read():
                pass
        except (OSError, EOFError) as error:
            return type(error).__name__
        return 'ended'

    async def client_side(client: HttpClient) -> None:
        stream = (await client.open_stream('GET', '/quiet')).unwrap()
        reader = await curio.spawn(read_forever, stream)
        await curio.sleep(0.1)
        await stream.abort()
        async with curio.timeout_after(10):
            context.read_error = await reader.join()
        await stream.close()

    run_with_server(context, client_side)


@then('the waiting HTTP read failed')
def step_aborted(context: Context) -> None:
    assert context.read_error in {'EOFError', 'ConnectionResetError', 'OSError'}


@when('the raw bytes {kind} are sent to the HTTP server')
def step_raw(context: Context, kind: str) -> None:
    async def client_side(client: HttpClient) -> bytes:
        host, port = client.address.split(':')
        sock = await curio.open_connection(host, int(port))
        async with sock:
            await sock.sendall(RAW_REQUESTS[kind])
            response = b''
            piece = await sock.recv(4096)
            while piece:
                response += piece
                piece = await sock.recv(4096)
            return response

    context.raw_response = run_with_server(context, client_side)


@then('the HTTP responses are "{first}" and "{second}" on 1 connection')
def step_answers(context: Context, first: str, second: str) -> None:
    texts = [response.unwrap().json() for response in context.responses]
    assert texts == [first, second], texts
    assert len(context.connections) == 1
    assert context.idle_count == 1


@then('the first HTTP exchange failed with "{kind}"')
def step_failed(context: Context, kind: str) -> None:
    assert type(context.responses[0].failure()).__name__ == kind


@then('the last HTTP response is "{text}" on 2 connections')
def step_last(context: Context, text: str) -> None:
    assert context.responses[-1].unwrap().json() == text
    assert len(context.connections) == 1


@then("the stream's source was closed")
def step_closed(context: Context) -> None:
    assert context.echo.closed


@then('the raw HTTP response has status {status:d} and outcome "{outcome}"')
def step_raw_answer(context: Context, status: int, outcome: str) -> None:
    assert context.raw_response.startswith(f'HTTP/1.1 {status}'.encode()), (
        context.raw_response
    )
    assert f'"outcome":"{outcome}"'.encode() in context.raw_response


@when('the HTTP client posts "{text}" whose send is forbidden once connected')
def step_not_valid(context: Context, text: str) -> None:
    async def client_side(client: HttpClient) -> list[Any]:
        response = await client.request(
            'POST', '/', body=text.encode(), may_send=lambda: False
        )
        return [response]

    context.responses = run_with_server(context, client_side)


@then('the HTTP server got no request')
def step_no_request(context: Context) -> None:
    assert context.echo.requests == 0


@when('the HTTP client asks a server twice that sends two responses at a time')
def step_two_at_a_time(context: Context) -> None:
    async def answer(sock: Any) -> None:
        context.connections += 1
        async with sock:
            while await sock.recv(4096):
                await sock.sendall(FIRST + SECOND)

    async def scenario() -> list[Any]:
        listener = open_listener(HOST, 0)
        server = await curio.spawn(serve_raw, listener, answer)
        client = create_client(f'{HOST}:{listener_port(listener)}')
        try:
            return [await client.request('GET', '/') for _ in range(2)]
        finally:
            await client.close()
            await server.cancel()

    context.connections = 0
    context.results = curio.run(scenario)


@then('both HTTP responses are the first ones, on {count:d} connections')
def step_first_ones(context: Context, count: int) -> None:
    bodies = [each.unwrap().body for each in context.results]
    assert bodies == [b'first'] * 2, bodies
    assert context.connections == count, context.connections

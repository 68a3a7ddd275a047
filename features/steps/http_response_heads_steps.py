"""Steps for heads of responses that are valid or not."""

from collections.abc import Iterable

import curio
from behave import then, when
from behave.runner import Context
from returns.result import Failure, Result, Success

from support.fleet.raw_server import serve_raw
from turmericyard_bench.launch import LOOPBACK, free_port
from turmericyard_http.client import HttpClient
from turmericyard_http.server import open_listener

#: Control bytes, the blank and DEL.
BYTES = [bytes([code]) for code in (*range(0x21), 0x7F)]
STATUS = b'HTTP/1.1 200 OK\r\n'
LENGTH = b'content-length: 4\r\n'
BODY = b'body'
END = LENGTH + b'\r\n' + BODY
#: Responses in which `%s` stands for the byte.
RESPONSES = {
    "at the start of a field's name": STATUS + b'a: 1\r\n%sx-b: 2\r\n' + END,
    "inside a field's name": STATUS + b'a: 1\r\nx-%sb: 2\r\n' + END,
    "at the end of a field's name": STATUS + b'a: 1\r\nx-b%s: 2\r\n' + END,
    'at the start of the name of the length': STATUS
    + b'a: 1\r\n%scontent-length: 4\r\n\r\n'
    + BODY,
    'inside the name of the length': STATUS
    + b'content-%slength: 4\r\n\r\n'
    + BODY,
    'at the end of the name of the length': STATUS
    + b'content-length%s: 4\r\n\r\n'
    + BODY,
    "at the start of the first field's name": STATUS + b'%sx-b: 2\r\n' + END,
    "at the start of a field's name, in chunks": STATUS
    + b'transfer-encoding: chunked\r\n%sx-b: 2\r\n\r\n4\r\nbody\r\n0\r\n\r\n',
    "at the start of an interim field's name": (
        b'HTTP/1.1 102 Processing\r\na: 1\r\n%sx-b: 2\r\n\r\n' + STATUS + END
    ),
}
VALID = {
    'whose lines end with CRLF': STATUS + END,
    'whose lines end with LF': (STATUS + LENGTH).replace(b'\r', b'')
    + b'\n'
    + BODY,
    'that arrives byte by byte': STATUS + END,
    'after an interim head': b'HTTP/1.1 102 Processing\r\na: 1\r\n\r\n'
    + STATUS
    + END,
    'with blanks around a field value': STATUS + b'a: \t 1 2 \t\r\n' + END,
}


async def fetch(raw: bytes, piece_bytes: int) -> Result:
    """Return what the HTTP client makes of the bytes of a response."""

    async def answer(sock: curio.io.Socket) -> None:
        async with sock:
            await sock.recv(65_536)
            for start in range(0, len(raw), piece_bytes):
                await sock.sendall(raw[start : start + piece_bytes])
                await curio.sleep(0)

    listener = open_listener(LOOPBACK, free_port())
    address = f'{LOOPBACK}:{listener.getsockname()[1]}'
    serving = await curio.spawn(serve_raw, listener, answer)
    try:
        return await HttpClient(address).request('GET', '/', fresh=True)
    finally:
        await serving.cancel()


def fetch_all(
    responses: Iterable[bytes], piece_bytes: int = 65_536
) -> dict[bytes, Result]:
    return {raw: curio.run(fetch, raw, piece_bytes) for raw in responses}


@when('each blank or control byte stands {place} of a response')
def step_bytes(context: Context, place: str) -> None:
    context.fetched = fetch_all(
        RESPONSES[place].replace(b'%s', each) for each in BYTES
    )


@when('each status from 000 to 099 is the status of a response')
def step_statuses(context: Context) -> None:
    context.fetched = fetch_all(
        STATUS.replace(b'200', b'%03d' % status) + END for status in range(100)
    )


@then('none of the responses is accepted')
def step_none(context: Context) -> None:
    accepted = {
        raw: result.unwrap()
        for raw, result in context.fetched.items()
        if not isinstance(result, Failure)
    }
    assert not accepted, accepted


@when('a response has a head {form}')
def step_valid(context: Context, form: str) -> None:
    pieces = 1 if form == 'that arrives byte by byte' else 65_536
    context.fetched = fetch_all([VALID[form]], pieces)


@then('the response is accepted with its body')
def step_accepted(context: Context) -> None:
    [result] = context.fetched.values()
    assert isinstance(result, Success), result
    response = result.unwrap()
    assert (response.status, response.body) == (200, BODY), response

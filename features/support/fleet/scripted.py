"""Endpoints that answer each request with the same bytes and end it."""

import re
from contextlib import suppress
from dataclasses import dataclass, field
from socket import SHUT_WR, SO_LINGER, SOL_SOCKET
from typing import Any

import curio

from support.fleet.raw_server import serve_raw
from turmericyard_http.exchange import RESET
from turmericyard_http.server import open_listener

ATTEMPT = re.compile(rb'x-turmericyard-attempt-id: (\S+)', re.IGNORECASE)
SEAL = b'x-turmericyard-response-seal: s\r\n'
ECHO = b'x-turmericyard-attempt-id: %s\r\n'
HEAD = b'HTTP/1.1 200 OK\r\n' + ECHO + SEAL
FAILURE = b'HTTP/1.1 500 Failed\r\n' + ECHO + SEAL
STREAM = HEAD + b'content-type: text/event-stream\r\n\r\n'
EVENTS = b'id: 1\ndata: a\n\nid: 2\ndata: b\n\n'
EARLIER = (
    b'x-turmericyard-attempt-id: earlier\r\n'
    b'x-turmericyard-not-executed: 1\r\n'
    b'content-length: 0\r\n\r\n'
)
WHOLE = b'whole'
LENGTH = b'content-length: 5\r\n\r\n'
CHUNKED = b'transfer-encoding: chunked\r\n\r\n'
REFUSAL = b'HTTP/1.1 413 Too Large\r\n' + ECHO + SEAL
#: Time between an answer and the later reset of its connection, in seconds.
RESET_SECONDS = 0.1
#: What is sent; `%s` stands for the attempt.
ANSWERS = {
    'a part of a status line': b'HTTP/1.1 20',
    'a status line': b'HTTP/1.1 200 OK\r\n',
    'a part of a head': HEAD,
    'a part of a header line': HEAD + b'content-len',
    'a head without its last byte': HEAD + b'content-length: 0\r\n\r',
    'a refusal of an earlier request': b'HTTP/1.1 503 Busy\r\n' + EARLIER,
    'a misdirection of an earlier request': b'HTTP/1.1 421 No\r\n' + EARLIER,
    'a status of 000': HEAD.replace(b'200', b'000') + LENGTH + WHOLE,
    'a blank inside the name of a field': HEAD + b'x y: 1\r\n' + LENGTH + WHOLE,
    'a blank before the name of a field': HEAD + b' x: 1\r\n' + LENGTH + WHOLE,
    'a blank before the name of the length': HEAD + b' ' + LENGTH + WHOLE,
    'a control byte inside the name of a field': HEAD
    + b'x\x01y: 1\r\n'
    + LENGTH
    + WHOLE,
    'a line feed before the name of a field': HEAD
    + b'\nx: 1\r\n'
    + LENGTH
    + WHOLE,
    'a body that ends with the connection': HEAD + b'\r\n' + WHOLE,
    'a body with a length': HEAD + LENGTH + WHOLE,
    'a body in chunks': HEAD + CHUNKED + b'5\r\nwhole\r\n0\r\n\r\n',
    'a failure that ends with the connection': FAILURE + b'\r\n' + WHOLE,
    'a refusal with a length': REFUSAL + LENGTH + WHOLE,
    'a stream that ends with the connection': STREAM + EVENTS,
    'a stream that ends inside an event': STREAM + EVENTS + b'id: 3\ndata',
    'a stream that ends before a blank line': STREAM + EVENTS + b'id: 3\n',
}


#: Header lines by the words of `read_fields`.
FIELDS = {
    'id': (b'x-turmericyard-attempt-id', b'%s'),
    'other id': (b'x-turmericyard-attempt-id', b'earlier'),
    'seal': (b'x-turmericyard-response-seal', b's'),
    'empty seal': (b'x-turmericyard-response-seal', b''),
    'not executed': (b'x-turmericyard-not-executed', b'1'),
    'instance': (b'x-turmericyard-instance-id', b'i-other'),
    'retry-after': (b'retry-after', b'30'),
    'limit': (b'server-limit', b'0.1'),
    'leaving': (b'server-leaving', b'1'),
    'gzip': (b'content-encoding', b'gzip'),
    'identity': (b'content-encoding', b'Identity'),
}
STATUS_WORD = 'status '


def read_fields(text: str) -> list[tuple[bytes, bytes]]:
    """Return the header lines named in a text such as `id, seal`."""
    if text == 'nothing':
        return []
    return [FIELDS[word] for word in text.split(', ')]


def answer_bytes(kind: str) -> bytes:
    """Return the bytes of a kind of answer, or of `status 200, id, seal`."""
    if not kind.startswith(STATUS_WORD):
        return ANSWERS[kind]
    status, _, fields = kind.removeprefix(STATUS_WORD).partition(', ')
    lines = b''.join(
        b'%s: %s\r\n' % line for line in read_fields(fields or 'nothing')
    )
    body = b'content-length: 0\r\n\r\n' if status == '204' else LENGTH + WHOLE
    return b'HTTP/1.1 %s Answer\r\n' % status.encode() + lines + body


async def end_connection(sock: Any, ending: str) -> None:
    """End a connection as `ending` says, with input that was not read."""
    if ending == 'stops reading':
        await curio.sleep(1000)
    if ending == 'ends, then resets':
        await sock.shutdown(SHUT_WR)
    if ending == 'resets later':
        await curio.sleep(RESET_SECONDS)
    if ending != 'closes':
        sock.setsockopt(SOL_SOCKET, SO_LINGER, RESET)


@dataclass
class ScriptedRunner:
    """Answers each request with the bytes of one kind; counts requests.

    It reads no more than the beginning of a long request, and answers nothing
    else, such as requests for reports.
    """

    kind: str
    ending: str = 'closes'
    asked: int = 0
    #: Set while it answers the requests that it has got.
    answering: Any = field(default_factory=curio.Event)

    async def serve(self, listener: object) -> None:
        await serve_raw(listener, self.answer)

    async def answer(self, sock: object) -> None:
        async with sock:
            with suppress(OSError):
                found = ATTEMPT.search(await sock.recv(65_536))
                if found is None:
                    return
                self.asked += 1
                await self.answering.wait()
                answer = answer_bytes(self.kind)
                await sock.sendall(answer.replace(b'%s', found[1]))
                await end_connection(sock, self.ending)


@dataclass
class CrashingScript:
    """Crashes as its answer to some requests ends, and is back later.

    The answers of `kind` have no other end than that of their connection.
    """

    kind: str
    crashing_body: bytes
    away_seconds: float
    address: str = ''
    crashes: int = 0
    crashed: Any = field(default_factory=curio.Event)

    async def run(self, port: int) -> None:
        while True:
            listener = open_listener(self.address.partition(':')[0], port)
            serving = await curio.spawn(serve_raw, listener, self.answer)
            await self.crashed.wait()
            self.crashed.clear()
            await serving.cancel()
            await curio.sleep(self.away_seconds)

    async def answer(self, sock: Any) -> None:
        async with sock:
            with suppress(OSError):
                request = await sock.recv(65_536)
                attempt = ATTEMPT.search(request)[1]
                await sock.sendall(ANSWERS[self.kind].replace(b'%s', attempt))
                if request.endswith(self.crashing_body):
                    self.crashes += 1
                    await self.crashed.set()
                    await curio.sleep(0)

"""Endpoints that answer each request with the same bytes and close."""

import re
from contextlib import suppress
from dataclasses import dataclass, field
from typing import Any

import curio

from support.fleet.raw_server import serve_raw
from turmericyard_http.server import open_listener

ATTEMPT = re.compile(rb'x-turmericyard-attempt-id: (\S+)', re.IGNORECASE)
SEAL = b'x-turmericyard-response-seal: s\r\n'
HEAD = b'HTTP/1.1 200 OK\r\nx-turmericyard-attempt-id: %s\r\n' + SEAL
STREAM = HEAD + b'content-type: text/event-stream\r\n\r\n'
EVENTS = b'id: 1\ndata: a\n\nid: 2\ndata: b\n\n'
EARLIER = (
    b'x-turmericyard-attempt-id: earlier\r\n'
    b'x-turmericyard-not-executed: 1\r\n'
    b'content-length: 0\r\n\r\n'
)
#: What is sent; `%s` stands for the attempt.
ANSWERS = {
    'a part of a status line': b'HTTP/1.1 20',
    'a status line': b'HTTP/1.1 200 OK\r\n',
    'a part of a head': HEAD,
    'a part of a header line': HEAD + b'content-len',
    'a head without its last byte': HEAD + b'content-length: 0\r\n\r',
    'a refusal of an earlier request': b'HTTP/1.1 503 Busy\r\n' + EARLIER,
    'a misdirection of an earlier request': b'HTTP/1.1 421 No\r\n' + EARLIER,
    'a body that ends with the connection': HEAD + b'\r\nwhole',
    'a stream that ends with the connection': STREAM + EVENTS,
    'a stream that ends inside an event': STREAM + EVENTS + b'id: 3\ndata',
    'a stream that ends before a blank line': STREAM + EVENTS + b'id: 3\n',
}


@dataclass
class ScriptedRunner:
    """Answers each request with the bytes of one kind; counts requests."""

    kind: str
    asked: int = 0

    async def serve(self, listener: object) -> None:
        await serve_raw(listener, self.answer)

    async def answer(self, sock: object) -> None:
        async with sock:
            with suppress(OSError):
                head = await sock.recv(65_536)
                self.asked += 1
                attempt = ATTEMPT.search(head)[1]
                await sock.sendall(ANSWERS[self.kind].replace(b'%s', attempt))


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

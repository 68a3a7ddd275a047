"""An endpoint that sends bytes without end that are no answer."""

import re
from contextlib import suppress
from dataclasses import dataclass, field
from typing import Any

import curio

from support.fleet.raw_server import serve_raw

HEAD = b'HTTP/1.1 200 OK\r\n'
ECHO = (
    b'x-turmericyard-attempt-id: at-%d\r\nx-turmericyard-response-seal: s\r\n'
)
CHUNKED = b'transfer-encoding: chunked\r\n\r\n'
FAILURE = b'HTTP/1.1 500 Failed\r\n' + ECHO % 0
STREAM = HEAD + ECHO % 0 + b'content-type: text/event-stream\r\n' + CHUNKED
PIECE = b'a' * 8192
PIECE_CHUNK = b'2000\r\n' + PIECE + b'\r\n'
#: Time between two bytes of an endpoint that drips, in seconds.
DRIP_SECONDS = 0.1
#: What is sent first, and then again and again.
KINDS = {
    'a head': (HEAD + b'x: ', PIECE),
    'interim answers': (b'', b'HTTP/1.1 102 Processing\r\n\r\n' * 100),
    'garbage': (b'', PIECE),
    'a body with a length': (
        HEAD + ECHO % 0 + b'content-length: 99999999999\r\n\r\n',
        PIECE,
    ),
    'a body in chunks': (HEAD + ECHO % 0 + CHUNKED, PIECE_CHUNK),
    'a body until its end': (HEAD + ECHO % 0 + b'\r\n', PIECE),
    'a chunk size': (HEAD + ECHO % 0 + CHUNKED, b'0' * 8192),
    'an event': (
        HEAD
        + ECHO % 0
        + b'content-type: text/event-stream\r\n'
        + CHUNKED
        + b'6\r\nid: 1\n\r\n',
        PIECE_CHUNK,
    ),
    'trailers': (HEAD + ECHO % 0 + CHUNKED + b'0\r\nx: ', PIECE),
    'a failure in chunks': (FAILURE + CHUNKED, PIECE_CHUNK),
    'a failure in chunks, byte by byte': (FAILURE + CHUNKED, b'1\r\na\r\n'),
    'a failure with a length, byte by byte': (
        FAILURE + b'content-length: 99999999999\r\n\r\n',
        b'a',
    ),
    'a failure until its end, byte by byte': (FAILURE + b'\r\n', b'a'),
    'a failure with trailers, byte by byte': (
        FAILURE + CHUNKED + b'0\r\nx: ',
        b'a',
    ),
    'a head, byte by byte': (HEAD + b'x: ', b'a'),
    'a body, byte by byte': (HEAD + ECHO % 0 + CHUNKED, b'1\r\na\r\n'),
    'a stream of events': (STREAM, b'5\r\n: a\n\n\r\n'),
    'a flood of events': (STREAM, b'5\r\n: a\n\n\r\n' * 1000),
    'an event, byte by byte': (
        HEAD
        + ECHO % 0
        + b'content-type: text/event-stream\r\n'
        + CHUNKED
        + b'6\r\nid: 1\n\r\n',
        b'1\r\na\r\n',
    ),
}


@dataclass
class EndlessRunner:
    """Serves each connection with bytes of one kind; counts what it sent."""

    kind: str
    sent: int = 0
    #: Connections that the other side closed.
    closed: int = 0
    tasks: list[Any] = field(default_factory=list)

    async def serve(self, listener: Any) -> None:
        await serve_raw(listener, self.flood)

    async def flood(self, sock: Any) -> None:
        first, again = KINDS[self.kind]
        async with sock:
            with suppress(OSError):
                await sock.recv(65_536)
                await sock.sendall(first)
                while True:
                    await sock.sendall(again)
                    self.sent += len(again)
                    slow = len(again) < 100
                    await curio.sleep(DRIP_SECONDS if slow else 0)
        self.closed += 1


ATTEMPT = re.compile(rb'x-turmericyard-attempt-id: (\S+)', re.IGNORECASE)
#: Pieces that a runner that floods sends at a time.
TOGETHER = 8


@dataclass
class FloodingRunner(EndlessRunner):
    """Sends large blocks and the id of each request; reports by `reports`."""

    reports: str = ''
    #: Reports that were asked for.
    reported: int = 0

    async def flood(self, sock: Any) -> None:
        async with sock:
            with suppress(OSError):
                request = await sock.recv(65_536)
                kind = self.kind
                if self.reports and b'/-/report' in request:
                    kind = self.reports
                    self.reported += 1
                first, again = KINDS[kind]
                found = ATTEMPT.search(request)
                if found:
                    first = first.replace(b'at-0', found[1])
                await sock.sendall(first)
                slow = len(again) < 100
                block = again if slow else again * TOGETHER
                while True:
                    await sock.sendall(block)
                    await curio.sleep(DRIP_SECONDS if slow else 0)

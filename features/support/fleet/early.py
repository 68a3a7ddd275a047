"""An endpoint that answers before it has read the body of a request."""

import re
from contextlib import suppress
from dataclasses import dataclass

import curio

from support.fleet.raw_server import serve_raw

ATTEMPT = re.compile(rb'x-turmericyard-attempt-id: (\S+)', re.IGNORECASE)
REJECTED = b'too long'
SEALED = b'x-turmericyard-response-seal: s'
NOT_RUN = b'x-turmericyard-not-executed: 1'


@dataclass
class EarlyRunner:
    """Reads the head and a part of the body, and answers.

    With `turns_away` it says that nothing ran, else that it rejects the
    request; then it closes the connection or reads no further.
    """

    turns_away: bool
    closes: bool
    answered: int = 0

    async def serve(self, listener: object) -> None:
        await serve_raw(listener, self.answer)

    async def answer(self, sock: object) -> None:
        async with sock:
            with suppress(OSError):
                head = await sock.recv(65_536)
                status = b'503 Busy' if self.turns_away else b'413 Too Large'
                lines = (
                    b'HTTP/1.1 ' + status,
                    b'x-turmericyard-attempt-id: ' + ATTEMPT.search(head)[1],
                    NOT_RUN if self.turns_away else SEALED,
                    b'content-length: %d' % len(REJECTED),
                    b'connection: close',
                )
                await sock.sendall(b'\r\n'.join(lines) + b'\r\n\r\n' + REJECTED)
                self.answered += 1
                if not self.closes:
                    await curio.sleep(1000)

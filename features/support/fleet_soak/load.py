"""Clients of a soak: they ask the directory and keep their connections."""

from dataclasses import dataclass, field
from itertools import count
from random import Random
from typing import Any

import curio
import h11
import orjson

from support.fleet.scenario import PROMPT
from support.fleet.world import Answer, read_answer, request_lines
from support.fleet_soak.stage import Stage
from turmericyard_http.clock import boot_seconds
from turmericyard_http.connection import (
    ClientConnection,
    connect,
    has_input,
)

OK = 200
CLIENTS = 12
#: Range of a client's pause between two requests, in seconds.
PAUSES = (0.1, 0.6)
DEADLINE_MS = {'read': 3000, 'write': 3000, 'stream': 8000}
#: Requests with a valid key for each one with a revoked key.
USUAL = 6
KINDS = ('read', 'read', 'write', 'write', 'stream')
#: How long clients keep an answer of the directory, in seconds.
ADDRESSES_SECONDS = 2.0
#: How long a client waits beyond its deadline before it gives up, in seconds.
PATIENCE_SECONDS = 4.0
FAILURES = (OSError, EOFError, h11.ProtocolError)


@dataclass
class Asked:
    """One request of a client and what came of it."""

    kind: str
    attempt: str
    target: str
    key: str
    node: str
    began: float
    ended: float = 0
    sent: bool = False
    answer: Answer = field(default_factory=Answer)

    @property
    def deadline(self) -> float:
        return self.began + DEADLINE_MS[self.kind] / 1000


@dataclass
class Clients:
    """The requests of all clients; `stopping` lets them end."""

    stage: Stage
    source: Random
    asked: list[Asked] = field(default_factory=list)
    stopping: bool = False
    numbers: Any = field(default_factory=count)

    async def run(self) -> None:
        async with curio.TaskGroup() as group:
            for _ in range(CLIENTS):
                await group.spawn(Client(self).run)

    def draw(self, node: str, kind: str | None = None) -> Asked:
        """Return a new request for a node, of a drawn kind if none is given."""
        kind = kind or self.source.choice(KINDS)
        attempt = f'at-{next(self.numbers)}'
        stage = self.stage
        key = self.source.choice([*stage.keys * USUAL, *stage.revoked])
        prefix = kind
        if kind == 'read' and self.source.random() < 0.5:
            prefix = f'v{len(stage.versions)}'
        target = f'/{prefix}/{attempt}'
        asked = Asked(kind, attempt, target, key, node, boot_seconds())
        self.asked.append(asked)
        return asked


@dataclass
class Client:
    """One client with at most one connection."""

    clients: Clients
    connection: ClientConnection | None = None
    node: str = ''
    addresses: list[str] = field(default_factory=list)
    addresses_until: float = 0

    async def run(self) -> None:
        source = self.clients.source
        while not self.clients.stopping:
            await curio.sleep(source.uniform(*PAUSES))
            if self.connection is None and not await self.connect():
                continue
            asked = self.clients.draw(self.node)
            await self.ask(asked)
        await self.drop()

    async def probe(self, node: str, kind: str) -> bool:
        """Return whether a node serves a request on a new connection."""
        await self.drop()
        self.node = node
        try:
            self.connection = await connect(
                self.clients.stage.nodes[node].front
            )
        except OSError:
            return False
        asked = self.clients.draw(node, kind)
        asked.key = self.clients.stage.keys[-1]
        await self.ask(asked)
        await self.drop()
        return asked.answer.status == OK and asked.answer.whole

    async def connect(self) -> bool:
        await self.look_up()
        if not self.addresses:
            return False
        front = self.clients.source.choice(self.addresses)
        try:
            async with curio.timeout_after(1):
                self.connection = await connect(front)
        except (OSError, curio.TaskTimeout):
            self.addresses_until = 0
            return False
        self.node = next(
            node.name
            for node in self.clients.stage.nodes.values()
            if node.front == front
        )
        return True

    async def look_up(self) -> None:
        """Ask the directory of any node once the last answer is old."""
        if boot_seconds() < self.addresses_until:
            return
        nodes = sorted(self.clients.stage.nodes.values(), key=lambda n: n.name)
        node = self.clients.source.choice(nodes)
        try:
            async with curio.timeout_after(1):
                self.addresses = await resolve(node.directory_address)
        except (*FAILURES, curio.TaskTimeout, ValueError):
            return
        self.addresses_until = boot_seconds() + ADDRESSES_SECONDS

    async def ask(self, asked: Asked) -> None:
        patience = asked.deadline - asked.began + PATIENCE_SECONDS
        try:
            async with curio.timeout_after(patience):
                await self.exchange(asked)
        except curio.TaskTimeout:
            asked.answer.error = 'gave up'
        except FAILURES as error:
            asked.answer.error = repr(error)
        asked.ended = boot_seconds()
        if not self.goes_on(asked):
            await self.drop()

    def goes_on(self, asked: Asked) -> bool:
        """Return whether the connection serves another request."""
        closing = asked.answer.headers.get('connection', '').lower()
        return (
            asked.answer.whole
            and closing != 'close'
            and self.connection is not None
            and self.connection.recycle()
            and not has_input(self.connection.sock)
        )

    async def exchange(self, asked: Asked) -> None:
        assert self.connection is not None
        body = asked.attempt.encode()
        lines = request_lines(
            asked.attempt,
            DEADLINE_MS[asked.kind],
            body,
            authorization=f'Bearer {asked.key}',
            **(PROMPT if asked.kind == 'stream' else {}),
        )
        await self.connection.send_lines(
            b'POST', asked.target.encode(), lines, body
        )
        asked.sent = True
        await read_answer(self.connection, asked.answer)

    async def drop(self) -> None:
        if self.connection is not None:
            await self.connection.close()
            self.connection = None


async def resolve(directory: str) -> list[str]:
    """Return the addresses that a node's directory names."""
    connection = await connect(directory)
    try:
        await connection.send_request('GET', '/-/resolve', None, b'')
        response = await connection.read_response()
    finally:
        await connection.close()
    return list(orjson.loads(response.body).get('addresses', ()))

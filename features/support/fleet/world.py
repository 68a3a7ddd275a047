"""Nodes, store, runners and clients in one loop of one scenario."""

import socket as system_socket
from collections.abc import Awaitable, Callable, Iterator
from dataclasses import dataclass, field
from functools import partial
from itertools import count
from typing import Any

import curio
import h11

from support.fleet.runner import FleetRunner
from support.fleet.store import FleetStore
from turmericyard_bench.launch import LOOPBACK, free_port
from turmericyard_fleet import create_border
from turmericyard_http.answer_writer import Limits
from turmericyard_http.connection import ClientConnection, connect
from turmericyard_http.exchange import shut_down
from turmericyard_http.messages import Headers, Request
from turmericyard_http.server import HttpServer, open_listener
from turmericyard_node.forwarding.application import ForwardingApplication
from turmericyard_node.forwarding.assembly import create_forwarding
from turmericyard_node.forwarding.options import NodeOptions
from turmericyard_ports.settings import Bounds, ForwardingSettings

HOST = 'shop.example'
KEY = 'key-1'
#: Longest body that a runner takes: more than the longest that a node takes.
BODY_BYTES = 8_388_608
READY_SECONDS = 6.0
#: How long a runner is away that crashed, unless a scenario says otherwise.
CRASH_SECONDS = 1.0
LIMIT_SECONDS = 40


def manifest(version: int = 1, **changes: Any) -> dict[str, Any]:
    """Return a configuration with a call, a once-only and a stream route.

    With `resumable`, streams may be resumed and run at two runners.
    """
    resumable = changes.pop('resumable', False)
    common = {'host': HOST, 'timeoutMs': 3000, 'targetLatencyMs': 400}
    return {
        'version': version,
        'routes': [
            {
                **common,
                'name': 'reads',
                'pathPrefix': '/read/',
                'kind': 'idempotent',
                'service': 'plain',
                'attempts': 2,
            },
            {
                **common,
                'name': 'writes',
                'pathPrefix': '/write/',
                'kind': 'non_idempotent',
                'service': 'plain',
                'attempts': 1,
            },
            {
                **common,
                'name': 'streams',
                'pathPrefix': '/stream/',
                'kind': 'streaming',
                'service': 'engines',
                'attempts': 2 if resumable else 1,
                'resumable': resumable,
                'timeoutMs': 8000,
            },
        ],
        'services': [
            {'name': 'plain'},
            {
                'name': 'engines',
                'engine': {
                    'slots': 8,
                    'kvCapacityTokens': 40_000,
                    'stride': 4,
                    'moves': True,
                    'backups': changes.pop('backups', False),
                },
            },
        ],
        'limits': {},
        'tenants': [{'name': 'firm', 'apiKeys': [KEY]}],
        **changes,
    }


@dataclass
class Answer:
    """What a client got; `whole` when the answer came to its end."""

    status: int = 0
    headers: dict[str, str] = field(default_factory=dict)
    body: bytes = b''
    whole: bool = False
    seconds: float = 0
    error: str = ''


@dataclass
class World:
    """Everything of a scenario; `nodes` by name."""

    store: FleetStore = field(default_factory=FleetStore)
    runners: dict[str, FleetRunner] = field(default_factory=dict)
    nodes: dict[str, ForwardingApplication] = field(default_factory=dict)
    servers: dict[str, HttpServer] = field(default_factory=dict)
    tasks: list[Any] = field(default_factory=list)
    #: Answers that nodes get from the store instead, by the name of the node.
    store_answers: dict[str, Any] = field(default_factory=dict)
    by_address: dict[str, FleetRunner] = field(default_factory=dict)
    #: Starts of runners that crashed.
    births: int = 0
    #: Numbers of the records that runners write.
    beats: Iterator[int] = field(default_factory=count)
    #: How long a runner is away that crashed.
    crash_seconds: float = CRASH_SECONDS
    #: Options of the nodes that are added.
    options: NodeOptions = field(default_factory=NodeOptions)

    async def serve(self, name: str, handler: Any, port: int = 0) -> str:
        listener = open_listener(LOOPBACK, port or free_port())
        address = f'{LOOPBACK}:{listener.getsockname()[1]}'
        server = HttpServer(
            listener, handler, Limits(body_bytes=BODY_BYTES, watch_client=True)
        )
        self.servers[name] = server
        self.tasks.append(await curio.spawn(server.run, daemon=True))
        return address

    async def open(self) -> None:
        await self.serve('store', self.store.answer)
        self.store.put('op/config', manifest())

    async def answer_store(self, node: str, request: Request) -> Any:
        """Answer a node's call to the store."""
        answer = self.store_answers.get(node, self.servers['store'].handler)
        return await answer(request)

    async def add_runner(self, identity: str, service: str) -> FleetRunner:
        runner = FleetRunner(identity, peers=self.by_address)
        runner.address = await self.serve(identity, runner.answer)
        runner.crash = partial(self.crash_runner, service=service)
        self.by_address[runner.address] = runner
        self.runners[identity] = runner
        self.register(identity, service)
        return runner

    def register(
        self, identity: str, service: str, state: str = 'ready', **more: Any
    ) -> None:
        record = {
            'service': service,
            'address': self.runners[identity].address,
            'zone': 'a',
            'slots': 8,
            'state': state,
            'coldRemainingMs': 0,
            'seq': next(self.beats),
            **more,
        }
        self.store.put(f'servers/{identity}', record)

    async def crash_runner(self, identity: str, *, service: str) -> None:
        """End a runner at once; it is back later, as a new start."""
        runner = self.runners[identity]
        self.births += 1
        server = self.servers.pop(identity, None)
        if server is None:
            return
        await curio.spawn(self.restart_runner, runner, service, daemon=True)
        server.state.shutting_down = True
        await shut_down(server.listener, system_socket.SHUT_RDWR)
        await curio.spawn(server.close, daemon=True)

    async def restart_runner(self, runner: FleetRunner, service: str) -> None:
        await curio.sleep(self.crash_seconds)
        port = int(runner.address.rpartition(':')[2])
        await self.serve(runner.identity, runner.answer, port)
        self.register(runner.identity, service, born=self.births)

    async def end_runner(self, identity: str) -> None:
        """End a runner: its connections break and no new one is accepted."""
        self.runners[identity].ended = True
        await curio.sleep(0.1)
        server = self.servers.pop(identity)
        await server.finish(0)
        await server.close()

    async def add_node(
        self, name: str, zone: str = 'a', metrics: str | None = None
    ) -> Any:
        addresses = [f'{LOOPBACK}:{free_port()}' for _ in range(5)]
        addresses.append(metrics or f'{LOOPBACK}:{free_port()}')
        settings = ForwardingSettings(
            name,
            zone,
            'r',
            *addresses,
            tuple(node.settings.control for node in self.nodes.values()),
            await self.serve(f'store-{name}', partial(self.answer_store, name)),
            1.0,
            Bounds(grace_seconds=4),
        )
        node = create_forwarding(settings, create_border(), self.options)
        self.nodes[name] = node
        await node.start()
        return node

    async def until(
        self, holds: Callable[[], bool], seconds: float = READY_SECONDS
    ) -> None:
        async with curio.timeout_after(seconds):
            while not holds():
                await curio.sleep(0.01)

    async def ready(self) -> None:
        """Wait until each node knows the configuration, runners and nodes."""
        for node in self.nodes.values():
            await self.until(
                lambda node=node: (
                    node.is_ready()
                    and len(node.platform_state.registry.endpoints)
                    >= len(self.runners)
                    and len(node.fleet.live_members()) == len(self.nodes) - 1
                )
            )

    async def ask(
        self,
        node: str,
        target: str,
        attempt: str,
        *,
        method: str = 'POST',
        deadline_ms: int = 5000,
        body: bytes = b'body',
        **headers: str,
    ) -> Answer:
        """Send one request to a node and read its answer to the end."""
        address = self.nodes[node].settings.callers
        lines = request_lines(attempt, deadline_ms, body, **headers)
        started = await curio.clock()
        answer = Answer()
        connection = await connect(address)
        try:
            async with curio.timeout_after(LIMIT_SECONDS):
                await connection.send_lines(
                    method.encode(), target.encode(), lines, body
                )
                await read_answer(connection, answer)
        except (OSError, EOFError, h11.ProtocolError) as error:
            answer.error = repr(error)
        finally:
            answer.seconds = await curio.clock() - started
            await connection.close()
        return answer

    async def kill(self, node: ForwardingApplication) -> None:
        """End a node at once, as a process that is killed."""
        for server in node.servers:
            await server.close()
        await node.tasks.cancel_all()
        await node.fleet.mesh.close()

    async def close(self) -> None:
        for node in self.nodes.values():
            await self.kill(node)
        for server in self.servers.values():
            await server.close()
        for task in self.tasks:
            await task.cancel()


def request_lines(
    attempt: str, deadline_ms: int, body: bytes, **headers: str
) -> Headers:
    """Return the header lines of a client's request; `headers` go first."""
    lines = {
        'host': HOST,
        'x-turmericyard-attempt-id': attempt,
        'x-turmericyard-deadline-ms': str(deadline_ms),
        'authorization': f'Bearer {KEY}',
        'content-length': str(len(body)),
        **{key.replace('_', '-'): text for key, text in headers.items()},
    }
    return tuple((key.encode(), text.encode()) for key, text in lines.items())


async def read_answer(connection: ClientConnection, answer: Answer) -> None:
    """Read head and body into the answer as they come."""
    answer.status, lines = await connection.read_lines()
    answer.headers = {name.decode(): text.decode() for name, text in lines}
    piece = await connection.read_data()
    while piece:
        answer.body += piece
        piece = await connection.read_data()
    answer.whole = True


def play(scenario: Callable[[World], Awaitable[None]]) -> None:
    """Run a scenario's coroutine with a new world."""

    async def run() -> None:
        world = World()
        await world.open()
        try:
            async with curio.timeout_after(LIMIT_SECONDS):
                await scenario(world)
        finally:
            await world.close()

    curio.run(run)

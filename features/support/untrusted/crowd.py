"""A crowd of raw sockets, and a deployment of one node that it meets."""

import socket as system_socket
from collections.abc import Iterator
from dataclasses import dataclass, field
from functools import partial
from itertools import count, islice
from typing import Any

import curio
import h11

from support.fleet.scenario import PROMPT
from support.fleet.world import Answer, World, read_answer, request_lines
from support.untrusted.forms import Form, forms_of
from support.untrusted.process import LimitedNode
from turmericyard_bench.launch import Launcher
from turmericyard_http.connection import connect

#: How long the crowd sends or waits, in seconds; its connections stay open after
#: that until an ordinary request was sent.
CROWD_SECONDS = 6.0
#: Pause before a member connects again whose connection was closed.
AGAIN_SECONDS = 0.05
SAMPLE_SECONDS = 0.1
STREAMS = 4
EVENTS = 100_000
EVENT_SECONDS = 0.002
DEADLINE_MS = 8000
#: How long an ordinary request may take, in seconds: it is only to be seen
#: whether the node answers at all.
ANSWER_SECONDS = 20.0
FAILURES = (OSError, EOFError, h11.ProtocolError, curio.TaskTimeout)


@dataclass
class Crowd:
    """Clients of one form or several at one address of a node."""

    address: str
    sockets: list[Any] = field(default_factory=list)

    async def run(self, name: str, members: int) -> None:
        """Let the members send; their connections stay open."""
        async with curio.ignore_after(CROWD_SECONDS):
            async with curio.TaskGroup() as group:
                for form in islice(forms_of(name), members):
                    await group.spawn(self.play, form)
            await curio.sleep(CROWD_SECONDS)

    async def play(self, form: Form) -> None:
        """Send the form once; again on a new connection when it is closed."""
        while True:
            try:
                await self.send(form)
            except OSError:
                await curio.sleep(AGAIN_SECONDS)
            else:
                return

    async def send(self, form: Form) -> None:
        host, _, port = self.address.rpartition(':')
        sock = curio.socket.socket(
            system_socket.AF_INET, system_socket.SOCK_STREAM
        )
        self.sockets.append(sock)
        await sock.connect((host, int(port)))
        for piece in form.pieces():
            await sock.sendall(piece)
            await curio.sleep(form.pause)

    async def close(self) -> None:
        for sock in self.sockets:
            await sock.close()


@dataclass
class Deployment:
    """One node process with a store, a runner of each kind and a crowd."""

    world: World
    node: LimitedNode
    numbers: Iterator[int] = field(default_factory=count)
    answer: Answer = field(default_factory=Answer)
    survived: bool = False
    peak: int = 0

    async def open(self) -> None:
        await self.world.add_runner('i-0', 'plain')
        engine = await self.world.add_runner('i-1', 'engines')
        engine.length = EVENTS
        engine.event_seconds = EVENT_SECONDS
        self.node.start()
        await self.node.until_ready()
        async with curio.timeout_after(ANSWER_SECONDS):
            while (await self.ask('/write/a')).status != 200:
                await curio.sleep(SAMPLE_SECONDS)

    async def ask(self, target: str, **headers: str) -> Answer:
        """Send one ordinary request; an answer without an end has an error."""
        answer = Answer()
        body = b'body'
        lines = request_lines(
            f'at-{next(self.numbers)}', DEADLINE_MS, body, **headers
        )
        try:
            async with curio.timeout_after(ANSWER_SECONDS):
                connection = await connect(self.node.front)
                try:
                    await connection.send_lines(
                        b'POST', target.encode(), lines, body
                    )
                    await read_answer(connection, answer)
                finally:
                    await connection.close()
        except FAILURES as error:
            answer.error = repr(error)
        return answer

    async def sample(self) -> None:
        while self.node.is_running():
            self.node.sample()
            await curio.sleep(SAMPLE_SECONDS)

    async def meet(self, form: str, members: int, listener: str) -> None:
        """Let the crowd act, then send an ordinary request beside it."""
        crowd = Crowd(getattr(self.node, listener))
        sampling = await curio.spawn(self.sample, daemon=True)
        try:
            await crowd.run(form, members)
            self.answer = await self.ask('/write/a')
            self.survived = self.node.is_running()
            if self.survived:
                self.node.sample()
                self.peak = self.node.peak_bytes()
        finally:
            await sampling.cancel()
            await crowd.close()

    async def relay_streams(self) -> None:
        for _ in range(STREAMS):
            await curio.spawn(
                partial(self.ask, '/stream/a', **PROMPT), daemon=True
            )
        engine = self.world.runners['i-1']
        await self.world.until(lambda: len(engine.runs) == STREAMS)


async def meet_crowd(
    launcher: Launcher,
    form: str,
    members: int,
    listener: str,
    *,
    relaying: bool,
) -> Deployment:
    """Return the deployment after it has met the crowd."""
    world = World()
    await world.open()
    store = world.servers['store'].listener.getsockname()
    node = LimitedNode(
        'n-0',
        'a',
        '127.0.0.40',
        f'{store[0]}:{store[1]}',
        launcher.directory,
        launcher,
    )
    deployment = Deployment(world, node)
    try:
        await deployment.open()
        if relaying:
            await deployment.relay_streams()
        await deployment.meet(form, members, listener)
    finally:
        launcher.close()
        await world.close()
    return deployment

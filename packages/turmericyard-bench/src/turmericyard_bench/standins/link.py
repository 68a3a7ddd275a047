"""A TCP link as a process: relays to one address and can fail.

Modes of the control port, `POST /control {"mode": m}`: `open` relays;
`cut` closes every connection and refuses new ones; `stalled` keeps every
connection and carries nothing; `one-way` carries nothing back to the side
that connected; `slow` holds up each piece for `SLOW_SECONDS`; `silent` leaves
the connections of that moment silent for good while new ones work.

`{"sources": {IP: m}}` gives connections from an IP address a mode of their
own, any but `silent`; the sources not named have the link's mode.
"""

from collections.abc import Mapping, Set
from contextlib import suppress
from dataclasses import dataclass, field
from functools import partial
from typing import Any

import click
import curio

from turmericyard_bench.standins.process import (
    LOOPBACK,
    handle_control,
    port_options,
)
from turmericyard_http.messages import Request, Response
from turmericyard_http.server import listener_port, open_listener, serve_http
from turmericyard_http.tasks import BackgroundTasks

RECEIVE_BYTES = 65_536
TICK_SECONDS = 0.05
#: How long a slow link holds up each piece, in seconds.
SLOW_SECONDS = 0.2
SOURCE_MODES = ('open', 'cut', 'stalled', 'one-way', 'slow')
MODES = (*SOURCE_MODES, 'silent')
#: Modes in which nothing goes to the target, and nothing comes back.
HELD_ONWARD = frozenset(('stalled',))
HELD_BACK = frozenset(('stalled', 'one-way'))
FAULTS = ('mode', 'sources')


@dataclass(eq=False, slots=True)
class Relay:
    """One relayed connection; once silent it never carries again.

    It is closed by cancelling its task: curio allows no task to close a
    socket that another one waits for.
    """

    task: Any
    source: str
    silent: bool = False


@dataclass(slots=True)
class Link:
    """The connections through the link, its mode and those of sources."""

    target: str
    mode: str = 'open'
    sources: dict[str, str] = field(default_factory=dict)
    relays: set[Relay] = field(default_factory=set)

    async def control(self, faults: Mapping[str, Any]) -> None:
        """Change modes; raises ValueError for an unknown one."""
        mode = faults.get('mode', self.mode)
        sources = faults.get('sources', self.sources)
        if not faults or not set(faults).issubset(FAULTS):
            raise ValueError(f'faults must be of {FAULTS}')
        if mode not in MODES or not set(sources.values()) <= set(SOURCE_MODES):
            raise ValueError(f'mode must be one of {MODES}')
        self.mode = mode
        self.sources = dict(sources)
        if mode == 'silent':
            for relay in self.relays:
                relay.silent = True
            self.mode = 'open'
        for relay in list(self.relays):
            if self.mode_of(relay.source) == 'cut':
                await relay.task.cancel()

    def mode_of(self, source: str) -> str:
        """Return the mode of connections from an IP address."""
        return self.sources.get(source, self.mode)

    def ledger(self) -> Any:
        """Return the mode and the number of open connections."""
        return {'mode': self.mode, 'connections': len(self.relays)}

    async def answer(self, request: Request) -> Response:
        """Never called: the link carries bytes, not requests."""
        raise ConnectionAbortedError

    async def carry(self, near: Any, source: str) -> None:
        """Relay one accepted connection until an end closes."""
        async with near:
            if self.mode_of(source) == 'cut':
                return
            host, _, port = self.target.rpartition(':')
            far = await curio.open_connection(host, int(port))
            async with far:
                await self.carry_both(near, far, source)

    async def carry_both(self, near: Any, far: Any, source: str) -> None:
        """Relay both directions until an end closes."""
        relay = Relay(await curio.current_task(), source)
        self.relays.add(relay)
        try:
            async with curio.TaskGroup(wait=any) as ways:
                await ways.spawn(self.pump, relay, near, far, HELD_ONWARD)
                await ways.spawn(self.pump, relay, far, near, HELD_BACK)
        finally:
            self.relays.discard(relay)

    def is_held(self, relay: Relay, modes: Set[str]) -> bool:
        """Return whether the relay carries nothing now."""
        return relay.silent or self.mode_of(relay.source) in modes

    async def pump(
        self, relay: Relay, source: Any, sink: Any, held: Set[str]
    ) -> None:
        """Carry one direction; in the modes `held` nothing passes."""
        with suppress(OSError):
            piece = await source.recv(RECEIVE_BYTES)
            while piece:
                if self.mode_of(relay.source) == 'slow':
                    await curio.sleep(SLOW_SECONDS)
                while self.is_held(relay, held):
                    await curio.sleep(TICK_SECONDS)
                await sink.sendall(piece)
                piece = await source.recv(RECEIVE_BYTES)


async def run_link(link: Link, port: int, control_port: int) -> None:
    """Serve both ports until cancelled; prints `ready PORT CONTROL_PORT`."""
    listener = open_listener(LOOPBACK, port)
    control = open_listener(LOOPBACK, control_port)
    control_task = await curio.spawn(
        serve_http, control, partial(handle_control, link)
    )
    click.echo(f'ready {listener_port(listener)} {listener_port(control)}')
    try:
        await accept_all(link, listener)
    finally:
        await control_task.cancel()


async def accept_all(link: Link, listener: Any) -> None:
    """Relay each connection of the listener until cancelled."""
    relays = BackgroundTasks()
    try:
        while True:
            near, (source, _) = await listener.accept()
            await relays.spawn(carry_quietly, link, near, source)
    finally:
        await relays.cancel_all()


async def carry_quietly(link: Link, near: Any, source: str) -> None:
    """Relay one connection; a target that refuses only closes it."""
    with suppress(OSError):
        await link.carry(near, source)


@click.command()
@port_options
@click.option('--target', required=True, help='HOST:PORT to relay to.')
def main(port: int, control_port: int, target: str) -> None:
    """Run one link."""
    curio.run(run_link, Link(target), port, control_port)


if __name__ == '__main__':
    main()

"""TCP relay to one address, run as a process, with network faults.

The control port sets the mode with `POST /control {"mode": m}`: `open` relays;
`cut` closes every connection and refuses new ones; `stalled` keeps every
connection open and relays nothing; `one-way` relays nothing back to the side
that connected; `slow` delays each chunk by `SLOW_SECONDS`; `silent` makes the
connections that are open at that moment relay nothing from then on, while new
ones work.

`{"sources": {IP: m}}` sets a separate mode for connections from an IP address,
any mode but `silent`; other sources use the mode of the link.
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
#: Delay of each chunk on a slow link, in seconds.
SLOW_SECONDS = 0.2
SOURCE_MODES = ('open', 'cut', 'stalled', 'one-way', 'slow')
MODES = (*SOURCE_MODES, 'silent')
#: Modes in which nothing is relayed to the target, and to the client.
BLOCKED_TO_TARGET = frozenset(('stalled',))
BLOCKED_TO_CLIENT = frozenset(('stalled', 'one-way'))
FAULTS = ('mode', 'sources')


@dataclass(eq=False, slots=True)
class Relay:
    """One relayed connection; once silent it relays nothing any more.

    It is closed by cancelling its task, because curio does not allow a task to
    close a socket that another task waits for.
    """

    task: Any
    source: str
    silent: bool = False


@dataclass(slots=True)
class Link:
    """A relay with its connections, its mode and modes by source address."""

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
        """Return the mode for connections from an IP address."""
        return self.sources.get(source, self.mode)

    def ledger(self) -> Any:
        """Return the mode and the number of open connections."""
        return {'mode': self.mode, 'connections': len(self.relays)}

    async def answer(self, request: Request) -> Response:
        """Never called: the link relays bytes and answers no requests."""
        raise ConnectionAbortedError

    async def relay_to_target(self, client: Any, source: str) -> None:
        """Connect to the target and relay until either side closes."""
        async with client:
            if self.mode_of(source) == 'cut':
                return
            host, _, port = self.target.rpartition(':')
            upstream = await curio.open_connection(host, int(port))
            async with upstream:
                await self.relay_both(client, upstream, source)

    async def relay_both(self, client: Any, upstream: Any, source: str) -> None:
        """Relay both directions until either side closes."""
        relay = Relay(await curio.current_task(), source)
        self.relays.add(relay)
        try:
            async with curio.TaskGroup(wait=any) as directions:
                await directions.spawn(
                    self.relay_direction,
                    relay,
                    client,
                    upstream,
                    BLOCKED_TO_TARGET,
                )
                await directions.spawn(
                    self.relay_direction,
                    relay,
                    upstream,
                    client,
                    BLOCKED_TO_CLIENT,
                )
        finally:
            self.relays.discard(relay)

    def is_blocked(self, relay: Relay, modes: Set[str]) -> bool:
        """Return whether the relay passes no data now.

        `modes` are those that block its direction.
        """
        return relay.silent or self.mode_of(relay.source) in modes

    async def relay_direction(
        self, relay: Relay, source: Any, sink: Any, blocking: Set[str]
    ) -> None:
        """Relay one direction; the modes in `blocking` stop it."""
        with suppress(OSError):
            chunk = await source.recv(RECEIVE_BYTES)
            while chunk:
                if self.mode_of(relay.source) == 'slow':
                    await curio.sleep(SLOW_SECONDS)
                while self.is_blocked(relay, blocking):
                    await curio.sleep(TICK_SECONDS)
                await sink.sendall(chunk)
                chunk = await source.recv(RECEIVE_BYTES)


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
    """Relay every connection of the listener until cancelled."""
    relays = BackgroundTasks()
    try:
        while True:
            client, (source, _) = await listener.accept()
            await relays.spawn(relay_connection, link, client, source)
    finally:
        await relays.cancel_all()


async def relay_connection(link: Link, client: Any, source: str) -> None:
    """Relay one connection; close it when the target refuses."""
    with suppress(OSError):
        await link.relay_to_target(client, source)


@click.command()
@port_options
@click.option('--target', required=True, help='HOST:PORT of the target.')
def main(port: int, control_port: int, target: str) -> None:
    """Run one link stand-in."""
    curio.run(run_link, Link(target), port, control_port)


if __name__ == '__main__':
    main()

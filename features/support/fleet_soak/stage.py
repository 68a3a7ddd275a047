"""The deployment of a soak: nodes, store, runners, and links between them."""

import json
from collections.abc import Iterator
from contextlib import contextmanager
from dataclasses import dataclass, field
from itertools import count
from pathlib import Path
from typing import Any

import curio

from support.fleet.runner import FleetRunner
from support.fleet.store import Backup, FleetStore
from support.fleet.world import KEY, World, manifest
from support.fleet_soak.nodes import NodeProcess
from turmericyard_bench.launch import LOOPBACK, Launcher, free_port
from turmericyard_bench.standins.link import Link, accept_all
from turmericyard_http.clock import boot_seconds
from turmericyard_http.messages import Request, Response
from turmericyard_http.server import open_listener
from turmericyard_node.members import MEMBERS_PREFIX

ZONES = ('a', 'b')
SERVICES = ('plain', 'engines')
MILLISECONDS = 1000
EVENTS = 50
#: Scope of what troubles the store or its links.
CORE = 'core'


@dataclass
class Disturbance:
    """Something troubled a scope: the core, a node or a runner."""

    scope: str
    began: float
    ended: float = float('inf')


@dataclass
class SoakStore(FleetStore):
    """A store whose leases lapse, and whose records name links to peers."""

    era: str | None = '1'
    peer_links: dict[str, str] = field(default_factory=dict)
    lapses_at: dict[int, float] = field(default_factory=dict)
    lifetimes: dict[int, float] = field(default_factory=dict)

    def put(self, key: str, value: Any, lease: int = 0) -> int:
        node = key.removeprefix(MEMBERS_PREFIX)
        if node in self.peer_links:
            record = json.loads(value)
            record['peer_address'] = self.peer_links[node]
            value = json.dumps(record).encode()
        return super().put(key, value, lease)

    async def carry_out(self, request: Request) -> Response:
        answer = await super().carry_out(request)
        if request.path == '/-/kv-lease':
            number = json.loads(answer.body)['lease']
            self.lifetimes[number] = self.leases[number] / MILLISECONDS
            self.extend(number)
        elif request.path.startswith('/-/kv-keep/'):
            self.extend(int(request.path.rpartition('/')[2]))
        return answer

    def restore(self, backup: Backup) -> None:
        super().restore(backup)
        for number in self.leases:
            self.extend(number)

    def extend(self, number: int) -> None:
        if number in self.leases:
            self.lapses_at[number] = boot_seconds() + self.lifetimes[number]

    def lapse(self) -> None:
        """End each lease whose time has passed."""
        now = boot_seconds()
        for number, lapses_at in tuple(self.lapses_at.items()):
            if lapses_at < now:
                self.lapses_at.pop(number)
                if number in self.leases:
                    self.end_lease(number)


@dataclass
class Stage:
    """Everything of one soak.

    `links` have the name of what they lead to or from, `services` and
    `left_at` (when it began to leave) that of a runner, `revoked` a key and
    the time of its end; `ends` are nodes told to end: name, time, and the
    seconds that it took, None when it did not end.
    """

    launcher: Launcher
    directory: Path
    store: SoakStore
    world: World
    nodes: dict[str, NodeProcess] = field(default_factory=dict)
    links: dict[str, Link] = field(default_factory=dict)
    services: dict[str, str] = field(default_factory=dict)
    left_at: dict[str, float] = field(default_factory=dict)
    disturbances: list[Disturbance] = field(default_factory=list)
    #: When each configuration was written, by version.
    versions: dict[int, float] = field(default_factory=dict)
    configuration: dict[str, Any] = field(default_factory=dict)
    keys: list[str] = field(default_factory=lambda: [KEY])
    revoked: dict[str, float] = field(default_factory=dict)
    ends: list[tuple[str, float, float | None]] = field(default_factory=list)
    numbers: Iterator[int] = field(default_factory=lambda: count(1))

    @contextmanager
    def disturbed(self, *scopes: str) -> Iterator[None]:
        """Note that scopes are in trouble while the block runs."""
        noted = [Disturbance(scope, boot_seconds()) for scope in scopes]
        self.disturbances.extend(noted)
        try:
            yield
        finally:
            for each in noted:
                each.ended = boot_seconds()

    def calm(self, since: float, until: float, *scopes: str) -> bool:
        """Return whether nothing troubled the scopes; all for none named."""
        return not any(
            each.began < until and each.ended > since
            for each in self.disturbances
            if not scopes or each.scope in scopes
        )

    async def open(self, nodes: int, runners: int) -> None:
        self.write_configuration()
        store = await self.world.serve('store', self.store.answer)
        for number in range(nodes):
            await self.add_node(f'n-{number}', number, store)
        seeds = tuple(node.control for node in self.nodes.values())
        for _ in range(runners):
            for service in SERVICES:
                await self.add_runner(service)
        for node in self.nodes.values():
            node.seeds = seeds[:3]
            node.start()
        for node in self.nodes.values():
            await node.until_ready()
        self.world.tasks.append(await curio.spawn(self.lapse, daemon=True))

    async def lapse(self) -> None:
        while True:
            self.store.lapse()
            await curio.sleep(0.1)

    async def add_node(self, name: str, number: int, store: str) -> None:
        link = await self.add_link(f'store {name}', store)
        node = NodeProcess(
            name,
            ZONES[number % len(ZONES)],
            f'127.0.0.{number + 10}',
            link,
            self.directory,
            self.launcher,
        )
        self.nodes[name] = node
        self.store.peer_links[name] = await self.add_link(
            f'peer {name}', node.peers
        )

    async def add_link(self, name: str, target: str) -> str:
        """Return the address of a new link to the target."""
        self.links[name] = Link(target)
        listener = open_listener(LOOPBACK, free_port())
        host, port = listener.getsockname()
        task = await curio.spawn(
            accept_all, self.links[name], listener, daemon=True
        )
        self.world.tasks.append(task)
        return f'{host}:{port}'

    async def add_runner(
        self, service: str, address: str | None = None
    ) -> FleetRunner:
        """Start a runner, at the address of one that has ended if given."""
        identity = f'i-{next(self.numbers)}'
        runner = FleetRunner(
            identity, length=EVENTS, peers=self.world.by_address
        )
        behind = await self.world.serve(identity, runner.answer)
        if address is None:
            runner.address = await self.add_link(f'runner {identity}', behind)
        else:
            runner.address = address
            self.reuse_link(identity, address, behind)
        self.world.by_address[runner.address] = runner
        self.world.runners[identity] = runner
        self.services[identity] = service
        self.register(identity)
        return runner

    def reuse_link(self, identity: str, address: str, behind: str) -> None:
        former = self.world.by_address[address].identity
        link = self.links.pop(f'runner {former}')
        link.target = behind
        self.links[f'runner {identity}'] = link

    def register(self, identity: str, state: str = 'ready') -> None:
        zone = ZONES[int(identity.removeprefix('i-')) % len(ZONES)]
        self.world.register(identity, self.services[identity], state, zone=zone)

    async def remove_runner(self, identity: str) -> None:
        """End a runner at once; its record goes a little later."""
        self.left_at.setdefault(identity, boot_seconds())
        await self.world.end_runner(identity)
        self.store.drop(f'servers/{identity}')

    def living(self, service: str) -> list[str]:
        """Return the runners of a service that have not begun to leave."""
        return [
            identity
            for identity in self.world.servers
            if self.services.get(identity) == service
            and identity not in self.left_at
        ]

    def write_configuration(self) -> None:
        """Write the next version; each has a route that is named after it."""
        version = len(self.versions) + 1
        table = manifest(version, tenants=[{'name': 'firm'}])
        table['tenants'][0]['apiKeys'] = list(self.keys)
        route = {**table['routes'][0], 'name': f'reads-{version}'}
        table['routes'].append({**route, 'pathPrefix': f'/v{version}/'})
        for older in range(1, version):
            table['routes'].append(
                {**route, 'name': f'reads-{older}', 'pathPrefix': f'/v{older}/'}
            )
        self.configuration = table
        self.store.put('op/config', table)
        self.versions[version] = boot_seconds()

    def write_again(self) -> None:
        """Write what a restored store may have lost, or has once more."""
        self.store.put('op/config', self.configuration)
        for identity in self.services:
            if identity in self.world.servers:
                leaving = identity in self.left_at
                self.register(identity, 'draining' if leaving else 'ready')
            else:
                self.store.drop(f'servers/{identity}')

    async def close(self) -> None:
        self.launcher.close()
        for server in self.world.servers.values():
            await server.close()
        for task in self.world.tasks:
            await task.cancel()


def create_stage(launcher: Launcher) -> Stage:
    store = SoakStore()
    return Stage(launcher, launcher.directory, store, World(store))


async def open_stage(launcher: Launcher, nodes: int, runners: int) -> Stage:
    """Return a deployment that serves."""
    stage = create_stage(launcher)
    await stage.open(nodes, runners)
    return stage

"""A complete deployment as processes on loopback, with operator access."""

import time
from collections.abc import Callable, Mapping
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

from turmericyard_bench.example import Example, ExampleEndpoint, read_example
from turmericyard_bench.launch import (
    LOOPBACK,
    Launcher,
    LaunchError,
    RunningProcess,
    free_port,
    get_json,
)
from turmericyard_bench.node_settings import (
    OPERATOR_TOKEN,
    NodePlan,
    NodePorts,
    write_settings,
)
from turmericyard_bench.operator_command import OperatorAnswer, run_operator
from turmericyard_bench.peer_links import PeerLinks, start_peer_links
from turmericyard_bench.standin_options import (
    engine_arguments,
    service_arguments,
)

STANDINS = 'turmericyard_bench.standins'
NODE_MODULE = 'turmericyard_node.main'
POLL_SECONDS = 0.02
#: Time-out for the first tables to be in force, in seconds.
IN_FORCE_TIMEOUT_SECONDS = 10


@dataclass(frozen=True, slots=True)
class Plan:
    """What to start; `timing` overrides settings of every node.

    With `store_links` each node reaches the store through its own link.
    With `peer_links` peers reach each node through a link before it.
    The last `nodes_without_vm_list` nodes cannot reach the VM list.
    """

    example: Path
    nodes: int = 3
    store_links: bool = False
    peer_links: bool = False
    nodes_without_vm_list: int = 0
    engine_options: tuple[str, ...] = ()
    service_options: tuple[str, ...] = ()
    timing: Mapping[str, object] = field(default_factory=dict)


@dataclass(slots=True)
class NodeProcess:
    """One node: its process, its ports and the settings it starts with."""

    name: str
    zone: str
    ports: NodePorts
    settings: Path
    process: RunningProcess

    @property
    def address(self) -> str:
        """Return the `host:port` at which callers reach the node."""
        return f'{LOOPBACK}:{self.ports.caller}'

    def status(self) -> Any:
        """Return the node's status page; raises OSError on any failure."""
        headers = {'authorization': f'Bearer {OPERATOR_TOKEN}'}
        return get_json(self.ports.operator, '/status', headers)

    def revision(self) -> int:
        """Return the revision in force, -1 when the node does not answer."""
        try:
            return int(self.status()['revision'])
        except OSError:
            return -1


@dataclass(slots=True)
class Deployment:
    """The processes of one deployment; its launcher stops them."""

    plan: Plan
    example: Example
    launcher: Launcher
    store: RunningProcess
    vm_list: RunningProcess
    endpoints: dict[str, RunningProcess] = field(default_factory=dict)
    links: dict[str, RunningProcess] = field(default_factory=dict)
    nodes: dict[str, NodeProcess] = field(default_factory=dict)
    peer_links: PeerLinks = field(default_factory=PeerLinks)

    def start_endpoints(self) -> None:
        """Start every engine and service of the tables."""
        started = {
            endpoint.name: self.start_endpoint(
                endpoint, (free_port(), free_port())
            )
            for endpoint in self.example.endpoints
        }
        for running in started.values():
            self.launcher.wait_ready(running)
        self.endpoints.update(started)

    def start_endpoint(
        self, endpoint: ExampleEndpoint, ports: tuple[int, ...]
    ) -> RunningProcess:
        """Start one engine or service without waiting until it is ready."""
        if endpoint.is_engine:
            module = f'{STANDINS}.engine'
            arguments = engine_arguments(endpoint, self.plan.engine_options)
        else:
            module = f'{STANDINS}.service'
            ledger = self.launcher.directory / f'{endpoint.name}.ledger'
            options = ('--ledger-file', str(ledger), *self.plan.service_options)
            arguments = service_arguments(endpoint, options)
        names = ('--port', '--control-port')
        for name, port in zip(names, ports, strict=False):
            arguments = (*arguments, name, str(port))
        return self.launcher.start(endpoint.name, module, arguments)

    def restart_endpoint(self, name: str) -> None:
        """Restart a stopped engine or service on its old ports; wait for it."""
        endpoint = next(
            each for each in self.example.endpoints if each.name == name
        )
        running = self.start_endpoint(endpoint, self.endpoints[name].ports)
        self.launcher.wait_ready(running)
        self.endpoints[name] = running

    def start_nodes(self) -> None:
        """Start the nodes as peers of each other, in the zones in turn."""
        zones = self.example.zones
        ports = {
            f'node-{index + 1}': NodePorts(
                free_port(), free_port(), free_port()
            )
            for index in range(self.plan.nodes)
        }
        if self.plan.peer_links:
            peer_ports = {name: found.peer for name, found in ports.items()}
            start_peer_links(self.launcher, self.peer_links, peer_ports)
        seeds = {
            name: self.peer_links.contact(name, found.peer)
            for name, found in ports.items()
        }
        for index, (name, found) in enumerate(ports.items()):
            others = {peer: at for peer, at in seeds.items() if peer != name}
            self.start_node(
                NodePlan(
                    name,
                    zones[index % len(zones)],
                    found,
                    self.store_address(name),
                    self.vm_list_address(index),
                    others,
                    self.peer_links.host(name),
                    self.peer_links.advertised(name),
                )
            )
        for node in self.nodes.values():
            self.launcher.wait_ready(node.process)

    def vm_list_address(self, index: int) -> str:
        """Return the VM list's address for a node.

        For a node without the VM list it is an address without a server.
        """
        reached = index < self.plan.nodes - self.plan.nodes_without_vm_list
        return self.vm_list.address if reached else f'{LOOPBACK}:{free_port()}'

    def start_node(self, plan: NodePlan) -> None:
        """Write a node's settings and start it; does not wait for it."""
        settings = write_settings(
            self.launcher.directory, plan, self.plan.timing
        )
        process = self.launch_node(plan.name, settings)
        self.nodes[plan.name] = NodeProcess(
            plan.name, plan.zone, plan.ports, settings, process
        )

    def store_address(self, node: str) -> str:
        """Return the store's address for a node.

        Starts the node's link to the store when the plan has store links.
        """
        if not self.plan.store_links:
            return self.store.address
        name = f'store-link-{node}'
        self.links[node] = self.launcher.start_ready(
            name, f'{STANDINS}.link', ('--target', self.store.address)
        )
        return self.links[node].address

    def launch_node(self, name: str, settings: Path) -> RunningProcess:
        """Start the process of a node; does not wait for it."""
        return self.launcher.start(
            name, NODE_MODULE, ('--settings', str(settings))
        )

    def restart_node(self, name: str) -> None:
        """Start a stopped node again and wait until it is ready."""
        node = self.nodes[name]
        node.process = self.launch_node(name, node.settings)
        self.launcher.wait_ready(node.process)

    def running_nodes(self) -> list[NodeProcess]:
        """Return the nodes whose processes are running."""
        return [
            node for node in self.nodes.values() if node.process.is_running()
        ]

    def addresses(self) -> list[str]:
        """Return the `host:port` of each running node for callers."""
        return [node.address for node in self.running_nodes()]

    def in_force(self, revision: int) -> bool:
        """Return whether every running node has at least the revision."""
        return all(node.revision() >= revision for node in self.running_nodes())

    def endpoint_names(self, zone: str) -> frozenset[str]:
        """Return the names of the endpoints in one zone."""
        return frozenset(
            endpoint.name for endpoint in self.example.endpoints_in(zone)
        )

    def write_tables(self) -> tuple[Path, Path]:
        """Write both tables with the processes' addresses; return the paths."""
        addresses = {
            name: running.address for name, running in self.endpoints.items()
        }
        routes = self.launcher.directory / 'routes.ini'
        pools = self.launcher.directory / 'pools.ini'
        routes.write_text(self.example.routes, encoding='utf-8')
        pools.write_text(self.example.pools_at(addresses), encoding='utf-8')
        return routes, pools

    def operate(self, *arguments: str) -> OperatorAnswer:
        """Run the operators' command against this deployment's store."""
        return run_operator(*self.operator_options(), *arguments)

    def operator_options(self) -> tuple[str, ...]:
        """Return the command's options that select this deployment."""
        return ('--store', self.store.address)

    def require(self, *arguments: str) -> OperatorAnswer:
        """Run an operators' command; raises LaunchError when it fails."""
        answer = self.operate(*arguments)
        if answer.status:
            raise LaunchError(
                f'{arguments} failed: {answer.output}{answer.errors}'
            )
        return answer


def start_deployment(launcher: Launcher, plan: Plan) -> Deployment:
    """Start all processes and wait until the tables are in force.

    Raises LaunchError when a process or the tables are not ready in time.
    """
    store = launcher.start_ready('store', f'{STANDINS}.store')
    vm_list = launcher.start_ready('vm-list', f'{STANDINS}.vm_list')
    deployment = Deployment(
        plan, read_example(plan.example), launcher, store, vm_list
    )
    deployment.start_endpoints()
    deployment.start_nodes()
    routes, pools = deployment.write_tables()
    deployment.require('tables', 'apply', str(routes), str(pools))
    if not wait_until(lambda: deployment.in_force(1), IN_FORCE_TIMEOUT_SECONDS):
        raise LaunchError('the tables are not in force at every node')
    return deployment


def wait_until(check: Callable[[], bool], seconds: float) -> bool:
    """Poll the check; return whether it became true within the time."""
    deadline = time.monotonic() + seconds
    while time.monotonic() < deadline:
        if check():
            return True
        time.sleep(POLL_SECONDS)
    return check()

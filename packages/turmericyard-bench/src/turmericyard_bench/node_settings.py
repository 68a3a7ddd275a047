"""Settings files of the nodes of a deployment on loopback."""

from collections.abc import Mapping
from configparser import ConfigParser
from dataclasses import dataclass, field
from pathlib import Path

from turmericyard_bench.launch import LOOPBACK

CLUSTER_SECRET = 'cluster-secret-of-tests'  # noqa: S105
OPERATOR_TOKEN = 'operator-token-of-tests'  # noqa: S105
SECRET_MODE = 0o600


@dataclass(frozen=True, slots=True)
class NodePorts:
    """Loopback ports of one node."""

    caller: int
    peer: int
    operator: int


@dataclass(frozen=True, slots=True)
class NodePlan:
    """The settings that are specific to one node.

    Peers connect to `advertised`, or to the peer port when it is empty.
    """

    name: str
    zone: str
    ports: NodePorts
    store: str
    vm_list: str
    seeds: Mapping[str, str] = field(default_factory=dict)
    peer_host: str = LOOPBACK
    advertised: str = ''


def write_settings(
    directory: Path, plan: NodePlan, timing: Mapping[str, object]
) -> Path:
    """Write the settings of one node and return their path."""
    ports = plan.ports
    cluster = write_secret(directory / 'cluster.secret', CLUSTER_SECRET)
    token = write_secret(directory / 'operator.token', OPERATOR_TOKEN)
    parser = ConfigParser(interpolation=None)
    parser['node'] = {
        'name': plan.name,
        'zone': plan.zone,
        'vm': f'vm-{plan.name}',
        'caller_address': f'{LOOPBACK}:{ports.caller}',
        'peer_address': f'{plan.peer_host}:{ports.peer}',
        'operator_address': f'{LOOPBACK}:{ports.operator}',
    }
    if plan.advertised:
        parser['node']['advertised_peer_address'] = plan.advertised
    parser['platform'] = {'store': plan.store, 'vm_list': plan.vm_list}
    parser['secrets'] = {
        'cluster_file': str(cluster),
        'operator_token_file': str(token),
    }
    parser['peers'] = {
        'seeds': ', '.join(f'{name}@{at}' for name, at in plan.seeds.items())
    }
    parser['timing'] = {key: str(text) for key, text in timing.items()}
    path = directory / f'{plan.name}.ini'
    with path.open('w', encoding='utf-8') as file:
        parser.write(file)
    return path


def write_secret(path: Path, text: str) -> Path:
    """Write a secret file unless it exists, and return its path.

    Only its owner can read it.
    """
    if not path.exists():
        path.touch(SECRET_MODE)
        path.write_text(text, encoding='utf-8')
    return path

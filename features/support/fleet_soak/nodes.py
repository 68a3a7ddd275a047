"""Node processes: their settings files, starts and signals."""

import json
import os
import signal
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

import curio

from turmericyard_bench.launch import Launcher, RunningProcess, free_port
from turmericyard_http.clock import boot_seconds
from turmericyard_http.connection import connect

MODULE = 'turmericyard_node.main'
ADAPTER = 'turmericyard_fleet'
#: Grace that the nodes are told, in seconds.
GRACE_SECONDS = 4
#: Repeats in a window beside the ratio that the nodes are told.
RETRY_EXTRA = 20
RETRY_RATIO = 0.2
WINDOW_SECONDS = 10
POLL_SECONDS = 0.05
#: Variable with a checkout of another build, which the first process of each
#: node runs: its restarts are the upgrade.
FIRST_BUILD_VARIABLE = 'FIRST_BUILD'
START_SECONDS = 20
#: How long a process that was told to end is waited for, in seconds.
END_SECONDS = 12


@dataclass
class NodeProcess:
    """One node, whose processes began at the times `started_at`."""

    name: str
    zone: str
    ip: str
    store: str
    directory: Path
    launcher: Launcher
    seeds: tuple[str, ...] = ()
    ports: list[int] = field(default_factory=list)
    running: RunningProcess | None = None
    started_at: list[float] = field(default_factory=list)

    def __post_init__(self) -> None:
        self.ports = [free_port() for _ in range(5)]

    def address(self, place: int) -> str:
        return f'{self.ip}:{self.ports[place]}'

    @property
    def front(self) -> str:
        """Return where clients connect."""
        return self.address(0)

    @property
    def control(self) -> str:
        return self.address(2)

    @property
    def directory_address(self) -> str:
        return self.address(3)

    @property
    def peers(self) -> str:
        return self.address(4)

    def settings(self) -> dict[str, Any]:
        return {
            'nodeName': self.name,
            'role': 'node',
            'ip': self.ip,
            'zone': self.zone,
            'region': 'r',
            'internalPorts': [self.ports[4], self.ports[4]],
            'seeds': list(self.seeds),
            'listen': {
                'front': self.front,
                'ready': self.address(1),
                'control': self.control,
                'directory': self.directory_address,
            },
            'limits': {'cpuShare': 0.5, 'cores': 2},
            'bounds': {
                'graceS': GRACE_SECONDS,
                'retryBudgetRatio': RETRY_RATIO,
                'budgetWindowS': WINDOW_SECONDS,
                'budgetExtra': RETRY_EXTRA,
                'ttl_max_s': 5,
            },
            'platform': {'address': self.store},
        }

    @property
    def path(self) -> Path:
        """Return the file of its settings."""
        return self.directory / f'{self.name}.toml'

    def write_settings(self) -> None:
        self.path.write_text(as_toml(self.settings()))

    def start(self) -> None:
        """Start a process, unless one runs."""
        if self.is_running():
            return
        self.write_settings()
        self.started_at.append(boot_seconds())
        self.running = self.launcher.start(
            self.name,
            MODULE,
            ('--adapter', ADAPTER),
            {'TURMERICYARD_BOOT': str(self.path), **self.build()},
        )

    def build(self) -> dict[str, str]:
        """Return the variables that choose the build of the next process."""
        first_build = os.environ.get(FIRST_BUILD_VARIABLE)
        if not first_build or len(self.started_at) > 1:
            return {}
        root = Path(first_build).resolve()
        sources = [*root.glob('packages/*/src'), root / 'platform']
        return {'PYTHONPATH': os.pathsep.join(map(str, sources))}

    def is_running(self) -> bool:
        return self.running is not None and self.running.is_running()

    def kill(self) -> None:
        if self.running is not None:
            self.running.kill()

    def pause(self) -> None:
        if self.running is not None:
            self.running.freeze()

    def resume(self) -> None:
        if self.running is not None:
            self.running.thaw()

    def reload(self) -> None:
        self.write_settings()
        if self.running is not None:
            self.running.signal(signal.SIGHUP)

    async def end(self) -> float | None:
        """Ask the process to end; return the seconds that it took."""
        process = self.running
        if process is None:
            return None
        began = boot_seconds()
        process.terminate()
        while process.is_running():
            if boot_seconds() > began + END_SECONDS:
                return None
            await curio.sleep(POLL_SECONDS)
        return boot_seconds() - began

    async def until_ready(self) -> None:
        """Wait until the node accepts connections of clients."""
        async with curio.timeout_after(START_SECONDS):
            while not await accepts(self.front):
                await curio.sleep(POLL_SECONDS)


async def accepts(address: str) -> bool:
    try:
        connection = await connect(address)
    except OSError:
        return False
    await connection.close()
    return True


def as_toml(table: dict[str, Any]) -> str:
    """Return plain values first, then tables."""
    plain = [
        f'{key} = {json.dumps(found)}'
        for key, found in table.items()
        if not isinstance(found, dict)
    ]
    tables = [
        f'[{key}]\n{as_toml(found)}'
        for key, found in table.items()
        if isinstance(found, dict)
    ]
    return '\n'.join((*plain, *tables)) + '\n'

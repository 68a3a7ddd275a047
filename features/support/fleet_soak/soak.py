"""One soak: rounds of failures under load, recovery, and the checks."""

from collections import Counter
from itertools import count
from random import Random

import click
import curio

from support.fleet_soak.checks import check_all
from support.fleet_soak.evidence import Evidence
from support.fleet_soak.faults import Fault, draw_faults
from support.fleet_soak.load import DEADLINE_MS, Client, Clients
from support.fleet_soak.stage import Stage, open_stage
from turmericyard_bench.launch import Launcher
from turmericyard_http.clock import boot_seconds

#: Load without failures before the first round, in seconds.
CALM_SECONDS = 2.0
#: Failures of a round begin within this time, in seconds.
SPREAD_SECONDS = 6.0
#: Load without failures after each round, in seconds: longer than the time
#: without trouble after which bounds hold again.
REST_SECONDS = 5.0
SECONDS_PER_MINUTE = 60
#: How long every node is asked until it serves again, in seconds.
LIMIT_SECONDS = 30.0
#: Pause between two requests of a probe, in seconds.
PROBE_SECONDS = 0.2


async def run_rounds(stage: Stage, seed: int, seconds: float) -> None:
    """Bring about rounds of failures until the time has passed."""
    ends_at = boot_seconds() + seconds
    for number in count():
        tasks = [
            await curio.spawn(bring_about, stage, fault, source)
            for fault, source in draw_round(seed, number)
        ]
        for task in tasks:
            await task.join()
        await curio.sleep(REST_SECONDS)
        if boot_seconds() >= ends_at:
            return


def draw_round(seed: int, number: int) -> list[tuple[Fault, Random]]:
    """Return the failures of a round, each with draws of its own.

    What one draws does not depend on when the others and the clients do.
    """
    faults = draw_faults(Random(f'{seed} {number}'))
    return [
        (fault, Random(f'{seed} {number} {place}'))
        for place, fault in enumerate(faults)
    ]


async def bring_about(stage: Stage, fault: Fault, source: Random) -> None:
    await curio.sleep(source.uniform(0, SPREAD_SECONDS))
    click.echo(f'{boot_seconds():.2f}  {fault.name}')
    await fault.bring_about(stage, source)


async def recover(clients: Clients) -> dict[str, float]:
    """Return how long after the failures each node served each kind."""
    recovered: dict[str, float] = {}

    async def probe(name: str) -> None:
        began = boot_seconds()
        for kind in DEADLINE_MS:
            client = Client(clients)
            while boot_seconds() < began + LIMIT_SECONDS:
                if await client.probe(name, kind):
                    break
                await curio.sleep(PROBE_SECONDS)
        recovered[name] = boot_seconds() - began

    async with curio.TaskGroup() as group:
        for name in clients.stage.nodes:
            await group.spawn(probe, name)
    return recovered


async def soak(
    launcher: Launcher, seed: int, seconds: float, nodes: int, runners: int
) -> Evidence:
    stage = await open_stage(launcher, nodes, runners)
    clients = Clients(stage, Random(seed))
    try:
        load = await curio.spawn(clients.run)
        await curio.sleep(CALM_SECONDS)
        await run_rounds(stage, seed, seconds)
        recovered = await recover(clients)
        clients.stopping = True
        await load.join()
    finally:
        await stage.close()
    return Evidence(stage, clients, recovered)


def run_soak(
    launcher: Launcher,
    seed: int,
    seconds: float,
    nodes: int = 4,
    runners: int = 4,
) -> dict[str, list[str]]:
    """Run one soak; return what broke each promise."""
    evidence: Evidence = curio.run(
        soak, launcher, seed, seconds, nodes, runners
    )
    report(evidence)
    return check_all(evidence)


def report(evidence: Evidence) -> None:
    """Print how the requests ended, by kind."""
    ends: dict[str, Counter[str]] = {}
    for asked in evidence.clients.asked:
        whole = '' if asked.answer.whole else ' cut'
        ends.setdefault(asked.kind, Counter())[
            f'{asked.answer.status}{whole}'
        ] += 1
    for kind, found in sorted(ends.items()):
        click.echo(f'{kind}: {dict(sorted(found.items()))}')

"""Soak test: load on a deployment while overlapping failures are injected.

The failures are drawn from a seed.

Run by `make soak SEED=n MINUTES=m`. Exit status 0 when every invariant held.
"""

import random
import sys
from dataclasses import dataclass, field
from pathlib import Path

import click
import curio
from returns.result import Success

from turmericyard_bench.deployment import (
    Deployment,
    NodeProcess,
    Plan,
    start_deployment,
)
from turmericyard_bench.failures import Failure, FailureContext, draw_failures
from turmericyard_bench.invariants import (
    Evidence,
    InvariantResult,
    RevisionSeen,
    check_all,
)
from turmericyard_bench.launch import LOOPBACK, Launcher, create_launcher
from turmericyard_bench.ledgers import read_ledgers
from turmericyard_bench.mixed_load import Mix, MixedLoad, create_load
from turmericyard_bench.node_settings import OPERATOR_TOKEN
from turmericyard_http.client import create_client
from turmericyard_http.clock import boot_seconds

TIMING = {'address_ttl_seconds': 1, 'drain_margin_seconds': 0.5}
#: Requests more generations than cold engines have capacity for.
MIX = Mix(reports=1, labels=4, report_tokens=(60, 300))
#: Time from the start of one round of failures to the next, in seconds.
ROUND_SECONDS = 25
#: Time within which all failures of a round start, in seconds.
START_WINDOW_SECONDS = 5
#: Load without failures before the first round, in seconds.
WARM_UP_SECONDS = 3
POLL_SECONDS = 0.1
POLL_TIMEOUT_SECONDS = 1
SECONDS_PER_MINUTE = 60


@dataclass(slots=True)
class Soak:
    """One soak; the same seed gives the same failures and requests."""

    deployment: Deployment
    context: FailureContext
    load: MixedLoad
    source: random.Random
    started_at: float
    revisions: list[RevisionSeen] = field(default_factory=list)

    async def run(self, seconds: float) -> None:
        """Run rounds of failures for `seconds`, then wait for every answer."""
        poller = await curio.spawn(self.poll_revisions)
        load = await curio.spawn(self.load.run)
        await curio.sleep(WARM_UP_SECONDS)
        ends_at = boot_seconds() + seconds
        while boot_seconds() < ends_at:
            await self.run_round()
        self.load.stopping = True
        await load.join()
        await poller.cancel()

    async def run_round(self) -> None:
        """Inject two or three overlapping failures."""
        started_at = boot_seconds()
        failures = draw_failures(self.source)
        tasks = [
            await curio.spawn(
                self.inject,
                failure,
                self.source.uniform(0, START_WINDOW_SECONDS),
            )
            for failure in failures
        ]
        for task in tasks:
            await task.join()
        await curio.sleep(max(0, ROUND_SECONDS - (boot_seconds() - started_at)))

    async def inject(self, failure: Failure, delay: float) -> None:
        """Inject one failure after a delay in seconds."""
        await curio.sleep(delay)
        at = boot_seconds() - self.started_at
        click.echo(f'{at:6.1f} s  {failure.name}')
        await failure.inject(self.context)

    async def poll_revisions(self) -> None:
        """Poll the revision of every node until cancelled."""
        async with curio.TaskGroup() as group:
            for node in self.deployment.nodes.values():
                await group.spawn(self.poll_node, node)

    async def poll_node(self, node: NodeProcess) -> None:
        """Poll the revision of one node until cancelled."""
        client = create_client(f'{LOOPBACK}:{node.ports.operator}')
        headers = {'authorization': f'Bearer {OPERATOR_TOKEN}'}
        while True:
            answer = await client.request(
                'GET',
                '/status',
                headers=headers,
                timeout_seconds=POLL_TIMEOUT_SECONDS,
            )
            if isinstance(answer, Success):
                self.record_revision(
                    node.name, answer.unwrap().json()['revision']
                )
            await curio.sleep(POLL_SECONDS)

    def record_revision(self, node: str, revision: int) -> None:
        """Record the revision of a node, unless it is 0.

        0 means that the node has no configuration and accepts no work.
        """
        if revision:
            self.revisions.append(RevisionSeen(node, revision, boot_seconds()))

    def check(self) -> list[InvariantResult]:
        """Return the result of every invariant."""
        evidence = Evidence(
            self.load.record,
            read_ledgers(self.deployment),
            self.context.absences,
            self.revisions,
            self.context.poisoned,
        )
        return check_all(evidence)


def create_soak(launcher: Launcher, example: Path, seed: int) -> Soak:
    """Return a soak over a started deployment."""
    plan = Plan(example, store_links=True, timing=TIMING)
    deployment = start_deployment(launcher, plan)
    source = random.Random(seed)
    addresses = [node.address for node in deployment.nodes.values()]
    load = create_load(
        lambda: list(addresses), deployment.example.workspaces, MIX, seed
    )
    context = FailureContext(deployment, random.Random(seed))
    return Soak(deployment, context, load, source, boot_seconds())


def run_soak(
    launcher: Launcher, example: Path, seed: int, seconds: float
) -> list[InvariantResult]:
    """Run one soak, print its events and return the invariants' results."""
    click.echo(f'seed {seed}, {seconds:.0f} s of failures')
    soak = create_soak(launcher, example, seed)
    curio.run(soak.run, seconds)
    results = soak.check()
    record = soak.load.record
    unknown = sum(call.outcome_unknown for call in record.calls)
    click.echo(
        f'{len(record.streams)} generations, {len(record.calls)} calls, '
        f'{unknown} calls answered that they may have run'
    )
    for result in results:
        click.echo(f'{result.verdict:12}{result.name}  ({result.cases} cases)')
        for breach in result.breaches:
            click.echo(f'            {breach}')
    return results


@click.command()
@click.option('--seed', default=1, help='Seed of the failures and requests.')
@click.option(
    '--minutes',
    default=1,
    type=float,
    help='Minutes during which failures are injected.',
)
@click.option(
    '--example',
    type=click.Path(path_type=Path, exists=True),
    default=Path('examples/vodnik'),
    help='Directory of the deployment.',
)
def main(seed: int, minutes: float, example: Path) -> None:
    """Check every invariant under overlapping failures."""
    launcher = create_launcher()
    try:
        results = run_soak(
            launcher, example, seed, minutes * SECONDS_PER_MINUTE
        )
    finally:
        launcher.close()
    if not all(result.held for result in results):
        click.echo(
            f'seed {seed}: an invariant is broken; logs: {launcher.directory}'
        )
        sys.exit(1)
    click.echo(f'seed {seed}: every invariant held')
    launcher.discard_logs()


if __name__ == '__main__':
    main()

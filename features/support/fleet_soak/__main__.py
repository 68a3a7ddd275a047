"""Runs a soak: `python -m support.fleet_soak --seed 1 --minutes 1`."""

import sys

import click

from support.fleet_soak.soak import SECONDS_PER_MINUTE, run_soak
from turmericyard_bench.launch import create_launcher

#: Breaches of one promise that are printed.
SHOWN = 10


@click.command()
@click.option('--seed', default=1, help='Draws failures and requests.')
@click.option('--minutes', default=1, type=float, help='Time of failures.')
@click.option('--nodes', default=4, help='Node processes.')
@click.option('--runners', default=4, help='Runners of each service.')
def main(seed: int, minutes: float, nodes: int, runners: int) -> None:
    """Check the promises of the forwarding node under drawn failures.

    Exit status 1, and the logs are kept, when one was broken.
    """
    launcher = create_launcher()
    try:
        broken = run_soak(
            launcher, seed, minutes * SECONDS_PER_MINUTE, nodes, runners
        )
    finally:
        launcher.close()
    for promise, breaches in broken.items():
        click.echo(f'{"BROKEN" if breaches else "held":8}{promise}')
        for breach in breaches[:SHOWN]:
            click.echo(f'        {breach}')
    if any(broken.values()):
        click.echo(f'seed {seed}: broken; logs in {launcher.directory}')
        sys.exit(1)
    launcher.discard_logs()


if __name__ == '__main__':
    main()

"""Counts calls to the store by its state and by the number of nodes.

Run by `python -m support.fleet_soak.store_calls`: node processes at rest.
"""

from collections import Counter

import click
import curio

from support.fleet_soak.stage import Stage, open_stage
from turmericyard_bench.launch import create_launcher

SIZES = (3, 6, 12)
#: How the store is in turn; slow is a matter of the links.
STATES = ('', 'slow', 'busy', 'silent')
#: Time left to the nodes to settle in a state, and time counted, in seconds.
SETTLED_SECONDS = 4.0
COUNTED_SECONDS = 8.0
RUNNERS = 2


async def change(stage: Stage, state: str) -> None:
    links = [
        link for name, link in stage.links.items() if name.startswith('store')
    ]
    for link in links:
        await link.control({'mode': 'slow' if state == 'slow' else 'open'})
    stage.store.mode = '' if state == 'slow' else state


async def count(size: int) -> None:
    launcher = create_launcher()
    stage = await open_stage(launcher, size, RUNNERS)
    try:
        for state in STATES:
            await change(stage, state)
            await curio.sleep(SETTLED_SECONDS)
            stage.store.calls.clear()
            await curio.sleep(COUNTED_SECONDS)
            report(size, state, stage.store.calls)
    finally:
        await stage.close()
        launcher.discard_logs()


def report(size: int, state: str, calls: list[str]) -> None:
    rate = len(calls) / COUNTED_SECONDS
    paths = Counter(call.rsplit('/', 1)[-1][:8] for call in calls)
    click.echo(
        f'{size} nodes, {state or "healthy"}: {rate:.2f} calls a second, '
        f'{rate / size:.2f} a node, {dict(paths.most_common(4))}'
    )


def main() -> None:
    for size in SIZES:
        curio.run(count, size)


if __name__ == '__main__':
    main()

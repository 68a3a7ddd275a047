"""The directory names a machine that was a hub for a while and is gone."""

import asyncio
import signal
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).parents[1] / 'standins'))

from fleet import Fleet, Runner, answer_call, main, manifest, until

MACHINES = 7
ZONES = ('nashua-a', 'nashua-b', 'worcester', 'portland')
REMOVED = 'edge-nashua-b-2'
#: Pause between the restarts, and after a process has ended, in seconds.
GAP_SECONDS = 1.3
BACK_SECONDS = 1.0
GRACE_SECONDS = 8.0
#: stableWindowMs + 3 s, and a second for the clocks.
KNOWN_SECONDS = 7.0
ALLOWED = 3


async def run(case):
    fleet = Fleet(case, MACHINES, ZONES)
    try:
        return await play(fleet)
    finally:
        fleet.close()


async def play(fleet):
    runners = [
        Runner(fleet, number, 'yard-ledger', answer_call) for number in range(4)
    ]
    await fleet.open(manifest())
    for runner in runners:
        await runner.open()
    await asyncio.sleep(6)
    for node in fleet.nodes:
        await restart(fleet, node)
        await asyncio.sleep(GAP_SECONDS)
    await asyncio.sleep(10)
    removed = next(each for each in fleet.nodes if each.name == REMOVED)
    if fleet.trouble:
        await end(fleet, removed)
    await asyncio.sleep(KNOWN_SECONDS)
    return await judge(fleet, removed)


async def end(fleet, node):
    """Send SIGTERM and wait for the end of the process, as the platform."""
    fleet.note(f'SIGTERM to {node.name}')
    node.signal(signal.SIGTERM)
    ends = time.monotonic() + GRACE_SECONDS
    while node.process.poll() is None and time.monotonic() < ends:
        await asyncio.sleep(0.05)
    node.kill()
    fleet.note(f'{node.name} has ended')


async def restart(fleet, node):
    await end(fleet, node)
    await asyncio.sleep(BACK_SECONDS)
    node.start()
    await until(node.is_ready, 15)
    fleet.note(f'{node.name} is ready again')


async def judge(fleet, removed):
    """Ask the directories for some seconds; count the wrong answers."""
    wrong = 0
    for _ in range(5):
        for node in fleet.nodes:
            if node is removed:
                continue
            named = await node.named('elsewhere') or []
            has_ended = removed.process.poll() is not None
            if has_ended and removed.front in named and len(named) > 1:
                wrong += 1
                fleet.note(f'{node.name} still names {removed.name}: {named}')
        await asyncio.sleep(1)
    fleet.note(
        f'{wrong} answers of the directory name a machine that ended over '
        f'{KNOWN_SECONDS} s before; allowed: {ALLOWED}'
    )
    return wrong > ALLOWED


main(__file__, run)

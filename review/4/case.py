"""A runner that is gone from the store still gets requests.

The store turns every second call of two machines away and serves the others;
the two are the hubs of the fleet. Requests at the other machines are judged.
"""

import asyncio
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).parents[1] / 'standins'))

from fleet import Fleet, Runner, answer_call, ask, main, manifest

MACHINES = 7
ZONES = ('nashua-a', 'nashua-b', 'worcester', 'portland')
RUNNERS = 4
#: The machines that the store turns away: 2 of 7, a share under 0.35.
TURNED_AWAY = ('edge-nashua-a-1', 'edge-portland-1')
TROUBLE_SECONDS = 9.0
DRAIN_SECONDS = 2.0
PAUSE_SECONDS = 0.05


async def run(case):
    fleet = Fleet(case, MACHINES, ZONES)
    try:
        return await play(fleet)
    finally:
        fleet.close()


async def play(fleet):
    runners = [
        Runner(fleet, number, 'yard-ledger', answer_call)
        for number in range(RUNNERS)
    ]
    await fleet.open(manifest())
    for runner in runners:
        await runner.open()
    await asyncio.sleep(8)
    sent = {}
    load = asyncio.create_task(send_requests(fleet, sent))
    await asyncio.sleep(4)
    if fleet.trouble:
        fleet.note(f'the store turns every second call of {TURNED_AWAY} away')
        fleet.store.turned_away.update(TURNED_AWAY)
    await asyncio.sleep(2)
    leaving = runners[0]
    leaving.registered = False
    await fleet.store.remove(f'servers/{leaving.identity}')
    gone_at = time.monotonic()
    fleet.note(f'{leaving.identity} is gone from the store; it serves on')
    await asyncio.sleep(TROUBLE_SECONDS - 2)
    fleet.store.turned_away.clear()
    fleet.note('the store serves all machines')
    await asyncio.sleep(5)
    load.cancel()
    return judge(fleet, leaving, gone_at, sent)


async def send_requests(fleet, sent):
    """Send calls at a steady rate to the machines that the store serves."""
    served = [each for each in fleet.nodes if each.name not in TURNED_AWAY]
    async with asyncio.TaskGroup() as group:
        for number in range(1_000_000):
            node = served[number % len(served)]
            group.create_task(send_call(fleet, node, sent))
            await asyncio.sleep(PAUSE_SECONDS)


async def send_call(fleet, node, sent):
    attempt, headers = fleet.request_headers(1500)
    sent[attempt] = (node.name, time.monotonic())
    await ask(node.front, 'POST', '/crush/1', headers, b'{}', 2)


def judge(fleet, leaving, gone_at, sent):
    late = [
        (at - gone_at, attempt)
        for attempt, at in leaving.arrivals
        if at > gone_at + DRAIN_SECONDS
    ]
    for seconds, attempt in late:
        node, sent_at = sent[attempt]
        fleet.note(
            f'{attempt} reached {leaving.identity} {seconds:.2f} s after the '
            f'store had acknowledged that it is gone; sent by {node}'
        )
    fleet.note(
        f'{len(late)} of {len(sent)} requests reached the runner later than '
        f'drainMs after that'
    )
    return bool(late)


main(__file__, run)

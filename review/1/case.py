"""A request that crashes each runner at its first token is sent on and on."""

import asyncio
import random
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).parents[1] / 'standins'))

from fleet import (
    CrashingRunner,
    Fleet,
    ask,
    begin_events,
    end_events,
    main,
    manifest,
    send_event,
)

RUNNERS = 6
MACHINES = 3
STABLE_WINDOW_SECONDS = 3.0
#: The request that crashes runners comes again with this pause, in seconds.
PAUSE_SECONDS = 1.0
TIMES = 30
#: What the rule allows after the third crash and the window.
ALLOWED = 3
BODY = b'{"harvest": "the same request each time"}'


async def run(case):
    fleet = Fleet(case, MACHINES)
    try:
        return await play(fleet)
    finally:
        fleet.close()


async def play(fleet):
    async def answer(runner, request, attempt, _reader, writer):
        """Begin to run at the first token, which is sent; then crash."""
        await asyncio.sleep(0.05)
        await begin_events(writer, attempt)
        await send_event(writer, attempt, 1)
        if request.body == BODY and fleet.trouble:
            await asyncio.sleep(0.02)
            runner.crash(attempt)
            return False
        for number in range(2, 11):
            await asyncio.sleep(0.05)
            await send_event(writer, attempt, number)
        await end_events(writer)
        return True

    runners = [
        CrashingRunner(fleet, number, 'turmeric-pool', answer, slots=64)
        for number in range(RUNNERS)
    ]
    await fleet.open(manifest())
    for runner in runners:
        await runner.open()
    await asyncio.sleep(4)
    sound = asyncio.create_task(send_sound_requests(fleet))
    attempts = {}
    for number in range(TIMES):
        attempts[await send_again(fleet, number)] = number
        await asyncio.sleep(PAUSE_SECONDS)
    sound.cancel()
    return judge(fleet, runners, attempts)


async def send_again(fleet, number):
    """Send the same request as before, as a new client attempt."""
    attempt, headers = fleet.request_headers(6000, (2000, 20))
    headers = [
        (name, '5c1e07a2:1000,0000beef:1000')
        if name == 'X-Turmericyard-Prompt-Prefix'
        else (name, value)
        for name, value in headers
    ]
    node = fleet.nodes[number % MACHINES]
    answer = await ask(node.front, 'POST', '/donor/7', headers, BODY, 6)
    fleet.note(
        f'the request, attempt {attempt} at {node.name}: status '
        f'{answer.status}, {"whole" if answer.whole else "broken off"}, '
        f'retry-after {answer.headers.get("retry-after")}'
    )
    return attempt


async def send_sound_requests(fleet):
    """Send other requests, which crash nothing."""
    async with asyncio.TaskGroup() as group:
        while True:
            group.create_task(send_sound(fleet))
            await asyncio.sleep(0.3)


async def send_sound(fleet):
    attempt, headers = fleet.request_headers(6000, (2000, 20))
    node = random.choice(fleet.nodes)
    answer = await ask(node.front, 'POST', '/donor/8', headers, b'{}', 6)
    if not answer.whole:
        fleet.note(f'sound request {attempt}: {answer.status}, broken off')


def judge(fleet, runners, attempts):
    crashes = sorted(each for runner in runners for each in runner.crashes)
    arrivals = sorted(
        (at, attempt)
        for runner in runners
        for attempt, at in runner.arrivals
        if attempt in attempts
    )
    fleet.note(
        f'{len(arrivals)} arrivals of the request, {len(crashes)} crashes'
    )
    if len(crashes) < 3:
        fleet.note('fewer than three crashes: the rule holds')
        return False
    limit = crashes[2][0] + STABLE_WINDOW_SECONDS
    late = [attempt for at, attempt in arrivals if at > limit]
    fleet.note(
        f'{len(late)} of them reached a runner later than '
        f'{STABLE_WINDOW_SECONDS} s after the third crash; allowed: {ALLOWED}'
    )
    return len(late) > ALLOWED


main(__file__, run)

"""A stream without the runner's seal is passed on as a success."""

import asyncio
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).parents[1] / 'standins'))

from fleet import (
    SEAL,
    Fleet,
    Runner,
    answer_call,
    answer_stream,
    ask,
    begin_events,
    end_events,
    main,
    manifest,
    send,
    send_event,
)

MACHINES = 3
RUNNERS = 4
REQUESTS = 80
#: One in so many answers of the faulty runners is none.
SPOILT = 20


async def run(case):
    fleet = Fleet(case, MACHINES)
    try:
        return await play(fleet)
    finally:
        fleet.close()


async def play(fleet):
    spoilt = set()

    def is_spoilt(runner):
        return fleet.trouble and len(runner.arrivals) % SPOILT == 1

    async def stream(runner, request, attempt, reader, writer):
        if not is_spoilt(runner):
            return await answer_stream(runner, request, attempt, reader, writer)
        spoilt.add(attempt)
        await begin_events(writer, attempt, sealed=False)
        for number in range(1, 4):
            await send_event(writer, 'bytes-of-nobody', number)
        await end_events(writer)
        return True

    async def call(runner, request, attempt, reader, writer):
        if not is_spoilt(runner):
            return await answer_call(runner, request, attempt, reader, writer)
        spoilt.add(attempt)
        echo = ('X-Turmericyard-Attempt-Id', attempt)
        await send(writer, 200, [echo], b'bytes of nobody')
        return True

    kinds = [stream, stream, answer_stream, answer_stream]
    engines = [
        Runner(fleet, number, 'turmeric-pool', kind, slots=64)
        for number, kind in enumerate(kinds)
    ]
    kinds = [call, call, answer_call, answer_call]
    services = [
        Runner(fleet, number + RUNNERS, 'yard-ledger', kind)
        for number, kind in enumerate(kinds)
    ]
    await fleet.open(manifest())
    for runner in (*engines, *services):
        await runner.open()
    await asyncio.sleep(4)
    broken = 0
    for number in range(REQUESTS):
        path = ('/donor/', '/crush/')[number % 2]
        broken += await send_request(fleet, number, f'{path}{number}', spoilt)
    fleet.note(
        f'{len(spoilt)} answers of runners had no seal; '
        f'{broken} clients got a success without one'
    )
    return broken > 0


async def send_request(fleet, number, path, spoilt):
    """Send a request; return whether its client got an unsealed success."""
    tokens = (500, 20) if path.startswith('/donor/') else None
    attempt, headers = fleet.request_headers(6000, tokens)
    node = fleet.nodes[number % MACHINES]
    answer = await ask(node.front, 'POST', path, headers, b'{}', 6)
    sealed = SEAL[0].lower() in answer.headers
    broken = 200 <= answer.status < 300 and not sealed
    if attempt in spoilt or broken:
        fleet.note(
            f'{path} {attempt}: the runner sent a 200 without a seal; the '
            f'client got {answer.status}, {"sealed" if sealed else "no seal"}, '
            f'{"whole" if answer.whole else "broken off"}: {answer.body[:50]}'
        )
    return broken


main(__file__, run)

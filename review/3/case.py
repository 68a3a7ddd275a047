"""A failure answer of an engine whose body does not end is never given up."""

import asyncio
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).parents[1] / 'standins'))

from fleet import (
    SEAL,
    Fleet,
    Runner,
    answer_stream,
    ask,
    encode_head,
    main,
    manifest,
    send,
)

RUNNERS = 4
MACHINES = 3
REQUESTS = 520
PAUSE_SECONDS = 0.1
#: Runners that spoil answers, and one in how many.
FAULTY = 2
SPOILT = 20
#: The route's `timeoutMs`, and how long the clients wait, in seconds.
TIMEOUT_SECONDS = 6.0
CLIENT_SECONDS = 12.0
#: Time after `timeoutMs` at which an answer is missing by the rule, in seconds.
SLACK_SECONDS = 0.5
EIGHT = 8


async def run(case):
    fleet = Fleet(case, MACHINES)
    try:
        return await play(fleet)
    finally:
        fleet.close()


async def play(fleet):
    async def fail(runner, request, attempt, reader, writer):
        """Fail some requests; the body comes without end, in trouble."""
        if len(runner.arrivals) % SPOILT:
            return await answer_stream(runner, request, attempt, reader, writer)
        headers = [('X-Turmericyard-Attempt-Id', attempt), SEAL]
        if not fleet.trouble:
            await send(writer, 500, headers, b'x' * 100)
            return True
        head = encode_head(500, [*headers, ('Transfer-Encoding', 'chunked')])
        writer.write(head)
        while True:
            writer.write(b'1\r\nx\r\n')
            await writer.drain()
            await asyncio.sleep(0.5)

    kinds = [fail] * FAULTY + [answer_stream] * (RUNNERS - FAULTY)
    runners = [
        Runner(fleet, number, 'turmeric-pool', kind, slots=64)
        for number, kind in enumerate(kinds)
    ]
    await fleet.open(manifest())
    for runner in runners:
        await runner.open()
    await asyncio.sleep(4)
    answers = await asyncio.gather(
        *(send_request(fleet, number) for number in range(REQUESTS))
    )
    return judge(fleet, answers)


async def send_request(fleet, number):
    """Send a generation; return when its answer ended, None if it did not."""
    await asyncio.sleep(number * PAUSE_SECONDS)
    attempt, headers = fleet.request_headers(
        int(CLIENT_SECONDS * 1000), (500, 20)
    )
    node = fleet.nodes[number % MACHINES]
    began = time.monotonic()
    answer = await ask(
        node.front, 'POST', f'/donor/{number}', headers, b'{}', CLIENT_SECONDS
    )
    seconds = time.monotonic() - began
    gave_up = answer.error == 'TimeoutError'
    fleet.note(
        f'{attempt} at {node.name}: status {answer.status}, '
        f'{answer.error or "whole"}, after {seconds:.2f} s'
    )
    return None if gave_up else seconds


def judge(fleet, answers):
    unanswered = [
        each for each in answers if each is None or each > TIMEOUT_SECONDS
    ]
    late = [
        each
        for each in unanswered
        if each is None or each > TIMEOUT_SECONDS + SLACK_SECONDS
    ]
    never = sum(each is None for each in answers)
    fleet.note(
        f'{len(unanswered)} of {len(answers)} requests were unanswered at the '
        f"route's timeoutMs, {len(late)} of them still {SLACK_SECONDS} s "
        f'later; {never} had no answer when their clients gave up'
    )
    return len(late) >= EIGHT and len(late) > len(unanswered) / 2


main(__file__, run)

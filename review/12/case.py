"""A faulty runner hands out wrong bytes on a route that runs once."""

import asyncio
import sys
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / 'rig3'))

from rig import (  # noqa: E402
    NOT_EXECUTED, SEAL, TROUBLE, ask, client_headers, main, new_id,
    plain_service, route,
)
from runner import RUNNERS, Runner  # noqa: E402

#: One answer in so many of the faulty runner is spoilt (x = 0.05).
EVERY = 20
BOOKINGS = 300
PAUSE_SECONDS = 0.1
PROMISES = (408, 421, 429, 503)


class FaultyRunner(Runner):
    """Every 20th answer is other bytes: no seal, another status."""

    def __init__(self, *arguments):
        super().__init__(*arguments)
        self.answers = 0

    async def call(self, request, channel, attempt):
        self.answers += 1
        if not (TROUBLE and self.answers % EVERY == 0):
            return await super().call(request, channel, attempt)
        self.begin(attempt, request)
        await asyncio.sleep(0.045)
        self.rig.record(f'{self.identity} spoils its answer to {attempt}')
        await channel.send(503, {}, b'worker lost')


async def scenario(rig):
    book = route('r-book', '/pule252/', 'non_idempotent', 'app', 1200, 150)
    await rig.open(rig.manifest([book], [plain_service('app')]), nodes=2)
    for kind, zone in zip((FaultyRunner, Runner, Runner), rig.zones * 2):
        await kind(rig, 'app', zone, 6).open()
    await rig.start_nodes()
    tasks = []
    for number in range(BOOKINGS):
        tasks.append(asyncio.create_task(book_visit(rig, number)))
        await asyncio.sleep(PAUSE_SECONDS)
    found = await asyncio.gather(*tasks)
    return [line for lines in found for line in lines]


async def book_visit(rig, number):
    """Book a visit; repeat it once, only after a promise that it hasn't run."""
    broken = []
    ran = []
    for _ in range(2):
        attempt = new_id()
        front = rig.nodes[number % len(rig.nodes)].front
        rig.record(f'client sends booking {number} as {attempt} to {front}')
        answer = await ask(
            front, 'POST', '/pule252/2f', client_headers(attempt, 2500),
            b'visit %d' % number,
        )
        rig.record(
            f'client got for booking {number}, {attempt}: {answer.status},'
            f' seal {SEAL in answer.headers},'
            f' not executed {NOT_EXECUTED in answer.headers} {answer.error}'
        )
        await asyncio.sleep(0.5)
        ran += [
            attempt
            for runner in RUNNERS.values()
            for _, each in runner.ran
            if each == attempt
        ]
        if answer.status not in PROMISES:
            break
        if attempt in ran:
            broken.append(
                f'REFUSED: {attempt} was answered {answer.status} and has run'
            )
    if len(ran) > 1:
        rig.record(f'booking {number} ran as {ran}')
    return broken


main(FOLDER, scenario)

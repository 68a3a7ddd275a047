"""A faulty runner hands out wrong bytes on a streaming route."""

import asyncio
import sys
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / 'rig3'))

from rig import (  # noqa: E402
    SEAL, TROUBLE, ask, llm_service, main, new_id, route, stream_headers,
)
from runner import Runner  # noqa: E402

#: One answer in so many of the faulty runner is spoilt (x = 0.05).
EVERY = 20
REQUESTS = 200
PAUSE_SECONDS = 0.1
WRONG = b'data: wrong bytes\n\n'


class FaultyRunner(Runner):
    """Every 20th answer has no seal, and other bytes for a body."""

    def __init__(self, *arguments):
        super().__init__(*arguments)
        self.answers = 0

    async def make(self, run, channel, attempt, backup):
        self.answers += 1
        if not (TROUBLE and self.answers % EVERY == 0):
            return await super().make(run, channel, attempt, backup)
        self.rig.record(f'{self.identity} spoils its answer to {attempt}')
        headers = {'Content-Type': 'text/event-stream'}
        await channel.send(200, headers, WRONG)


async def scenario(rig):
    tags = route('r-tags', '/pufi791/', 'streaming', 'llm', 6000, 1500, gapAimMs=180)
    await rig.open(rig.manifest([tags], [llm_service('llm')]), nodes=2)
    for kind, zone in zip((FaultyRunner, Runner, Runner), rig.zones * 2):
        await kind(rig, 'llm', zone, 64).open()
    await rig.start_nodes()
    tasks = []
    for number in range(REQUESTS):
        front = rig.nodes[number % len(rig.nodes)].front
        tasks.append(asyncio.create_task(request(rig, front)))
        await asyncio.sleep(PAUSE_SECONDS)
    found = await asyncio.gather(*tasks)
    return [line for line in found if line]


async def request(rig, front):
    """Send one request; return how its answer broke the rule, if it did."""
    attempt = new_id()
    parts = f'5c1e07a2:350,{attempt[:8]}:1110'
    headers = stream_headers(attempt, 6000, 1460, 20, parts)
    rig.record(f'client sends {attempt} to {front}')
    answer = await ask(front, 'POST', '/pufi791/2f', headers, b'x' * 2900)
    sealed = SEAL in answer.headers
    rig.record(
        f'client got for {attempt}: status {answer.status}, seal {sealed},'
        f' whole {answer.whole}, {answer.body[:24]!r} {answer.error}'
    )
    if 200 <= answer.status < 300 and answer.whole and not sealed:
        return (
            f'MIXED: {attempt} got a whole {answer.status} without the seal,'
            f' body {answer.body!r}'
        )
    return ''


main(FOLDER, scenario)

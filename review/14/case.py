"""A runner is replaced; while its runs are copied it loses one answer."""

import asyncio
import sys
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / 'rig3'))

from rig import (  # noqa: E402
    TROUBLE, CannotRun, ask, llm_service, main, new_id, now, route,
    stream_headers,
)
from runner import Runner  # noqa: E402

#: The longest prompt of the site, and 275 events of at most 551.
PROMPT = 6000
OUTPUT = 1100
#: Runs at the runner that leaves: about what its memory takes.
RUNS = 5
#: The answer that is lost is that of a run of which there is a copy, while the
#: copy is brought up to date behind other moves for at least so long.
QUEUED_SECONDS = 1.6
LOST_AFTER_SECONDS = 0.01
LINGER_SECONDS = 8.0
#: Short requests before, so that one answer in 20 or fewer is lost.
SHORT = 30


class LosingRunner(Runner):
    """It can lose the answer of a run, which goes on."""

    lost = ''

    async def make(self, run, channel, attempt, backup):
        await super().make(run, channel, attempt, backup)
        if attempt == self.lost and not run.stopped and run.made < run.pieces:
            while run.made < run.pieces and not run.stopped:
                await asyncio.sleep(0.028)
                run.made += 1
                self.worked.setdefault(attempt, []).append(now())
            self.rig.record(f'{self.identity} ends its work on {attempt}')

    async def move(self, call, channel):
        run = self.runs.get(call['id'])
        if run is not None and run.copied and not run.copying:
            wait = self.link_free_at - now()
            self.rig.record(f'the copy of {run.attempt} waits {wait:.2f} s')
            if TROUBLE and not self.lost and wait > QUEUED_SECONDS:
                self.lost = run.attempt
                asyncio.get_running_loop().call_later(
                    LOST_AFTER_SECONDS, self.lose, run.attempt
                )
        await super().move(call, channel)

    def lose(self, attempt):
        self.rig.record(f'{self.identity} loses its answer to {attempt}')
        self.streams[attempt].reset()

    async def stream(self, request, channel, attempt):
        self.streams[attempt] = channel
        await super().stream(request, channel, attempt)

    def __init__(self, *arguments):
        super().__init__(*arguments)
        self.streams = {}


async def scenario(rig):
    reports = route('r-reports', '/lohu930/', 'streaming', 'llm', 39000, 1800, gapAimMs=180)
    await rig.open(rig.manifest([reports], [llm_service('llm')]), nodes=5)
    former = LosingRunner(rig, 'llm', rig.zones[0], 64)
    await former.open()
    await rig.start_nodes()
    for number in range(SHORT):
        await send(rig, rig.nodes[number % 5], new_id(), 200, 8)
    attempts = []
    for node in rig.nodes:
        attempt = new_id()
        attempts.append(attempt)
        asyncio.create_task(send(rig, node, attempt, PROMPT, OUTPUT))
        await asyncio.sleep(0.25)
    await asyncio.sleep(0.5)
    if len(former.runs) < RUNS:
        raise CannotRun(f'{len(former.runs)} runs began')
    # Release: the new runner starts first, the old one drains.
    new = Runner(rig, 'llm', rig.zones[1], 64)
    await new.open()
    await asyncio.sleep(1.6)
    former.leave()
    await asyncio.sleep(LINGER_SECONDS)
    if TROUBLE and not former.lost:
        raise CannotRun('no copy waited long enough')
    broken = []
    for attempt in attempts:
        ends = former.worked.get(attempt, [])
        begins = new.worked.get(attempt, [])
        if not (ends and begins):
            continue
        overlap = ends[-1] - begins[0]
        rig.record(f'{attempt} worked on at both for {overlap:.3f} s')
        if overlap > 0.4:
            broken.append(
                f'TWICE: {attempt} goes on at {new.identity} from {begins[0]:.3f}'
                f' on, {former.identity} works on it until {ends[-1]:.3f}'
            )
    return broken


async def send(rig, node, attempt, prompt, output):
    parts = f'5c1e07a2:79,{attempt[:8]}:{prompt - 79}'
    headers = stream_headers(attempt, 39000, prompt, output, parts)
    rig.record(f'client sends {attempt} to {node.name}')
    answer = await ask(node.front, 'POST', '/lohu930/2f', headers, b'x' * 600, 39)
    ids = [line for line in answer.body.split(b'\n') if line.startswith(b'id:')]
    rig.record(
        f'client got for {attempt}: {answer.status}, whole {answer.whole},'
        f' {len(ids)} events {answer.error}'
    )


main(FOLDER, scenario)

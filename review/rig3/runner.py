"""Runners of the platform: a model runner and a plain one."""

import asyncio
import json

from rig import ATTEMPT, NOT_EXECUTED, free_port, new_id, now, serve

STEP_SECONDS = 0.028  # an event of 4 tokens, 7 ms a step
TOKENS_PER_MS = 14
KV_BYTES = 18432
LINK_MBPS = 2700.0


class Run:
    def __init__(self, attempt, prompt, pieces, made=0):
        self.attempt = attempt
        self.prompt = prompt
        self.pieces = pieces
        self.made = made
        self.stopped = False
        self.copying = False
        self.copied = {}

    @property
    def tokens(self):
        return self.prompt + 4 * self.made


class Runner:
    """`ran` lists (time, attempt) of each begin, `worked` the last event made."""

    def __init__(self, rig, service, zone, slots, ip=None):
        self.rig = rig
        self.service = service
        self.zone = zone
        self.slots = slots
        self.identity = f'i-{new_id()[:8]}'
        self.ip = ip or f'{rig.net}.{100 + len(RUNNERS)}'
        self.state = 'ready'
        self.sequence = 0
        self.running = 0
        self.ran = []
        self.arrivals = []
        self.runs = {}
        self.copies = {}
        self.worked = {}
        self.link_free_at = 0.0
        self.beating = None
        self.server = None
        self.channels = set()
        self.born = BORN

    async def open(self, port=None):
        self.port = port or free_port(self.ip)
        self.server = await serve(self.ip, self.port, self.answer)
        self.address = f'{self.ip}:{self.port}'
        RUNNERS[self.address] = self
        self.beating = asyncio.create_task(self.beat())

    async def beat(self):
        while True:
            self.write()
            await asyncio.sleep(1.2)

    def write(self):
        self.sequence += 1
        self.rig.store.put(
            f'servers/{self.identity}',
            {
                'service': self.service, 'address': self.address,
                'zone': self.zone, 'version': 'v1', 'slots': self.slots,
                'state': self.state, 'coldRemainingMs': 0, 'stage': 'both',
                'models': [{'name': 'm', 'version': 1, 'adapters': []}],
                'seq': self.sequence, 'born': self.born,
            },
        )

    def leave(self):
        self.state = 'draining'
        self.write()
        self.rig.record(f'{self.identity} reports draining')

    def seal(self, attempt):
        return {
            'X-Turmericyard-Attempt-Id': attempt,
            'X-Turmericyard-Response-Seal': f'3e1b.07.{self.identity}.{attempt}',
        }

    async def answer(self, request, channel):
        if request.path == '/health':
            headers = {'X-Turmericyard-Instance-Id': self.identity}
            return await channel.send(200, headers)
        if request.path == '/-/report':
            return await channel.json(200, {
                'stage': 'both', 'busy': False, 'seq': 0, 'queued': 0,
                'running': len(self.runs), 'kvUsed': 0, 'kvTotal': 34631,
                'handles': len(self.copies), 'state': self.state,
            })
        if request.path == '/-/kv-move':
            return await self.move(json.loads(request.body), channel)
        if request.path.startswith('/-/kv-handle/'):
            self.copies.pop(request.path.rpartition('/')[2], None)
            return await channel.json(200, {})
        attempt = request.headers.get(ATTEMPT)
        if attempt is None:
            return await channel.send(400, {'X-Turmericyard-Not-Executed': '1'})
        self.arrivals.append((now(), attempt))
        expected = request.headers.get('x-turmericyard-expect-instance')
        if expected not in (None, self.identity):
            return await channel.send(421, {
                'X-Turmericyard-Instance-Id': self.identity,
                'X-Turmericyard-Attempt-Id': attempt,
            })
        if self.running >= self.slots:
            return await channel.send(503, {
                'X-Turmericyard-Not-Executed': '1',
                'X-Turmericyard-Attempt-Id': attempt,
            })
        self.running += 1
        try:
            if 'x-turmericyard-token-count' in request.headers:
                await self.stream(request, channel, attempt)
            else:
                await self.call(request, channel, attempt)
        finally:
            self.running -= 1

    # -- plain calls

    async def call(self, request, channel, attempt):
        self.begin(attempt, request)
        await asyncio.sleep(0.045)
        await channel.send(200, self.seal(attempt), b'x' * 800)

    def begin(self, attempt, request):
        self.ran.append((now(), attempt))
        self.rig.record(f'{self.identity} runs {attempt} {request.method} {request.target}')

    # -- streams

    async def stream(self, request, channel, attempt):
        copied = request.headers.get('kv-from')
        counts = request.headers['x-turmericyard-token-count'].split(',')
        prompt, output = map(int, counts)
        if copied is not None:
            run = self.take_copy(copied, attempt)
            if run is None:
                return await channel.send(503, {
                    'X-Turmericyard-Not-Executed': '1',
                    'X-Turmericyard-Attempt-Id': attempt,
                })
            after = int(request.headers.get('last-event-id') or 0)
            self.rig.record(f'{self.identity} goes on with {attempt} after {after}')
            self.resume(run, after)
        else:
            run = Run(attempt, prompt, max(1, output // 4))
            await asyncio.sleep(prompt / TOKENS_PER_MS / 1000)
            self.begin(attempt, request)
        self.runs[attempt] = run
        backup = request.headers.get('x-turmericyard-kv-backup')
        try:
            await self.make(run, channel, attempt, backup)
        finally:
            if self.runs.get(attempt) is run:
                self.runs.pop(attempt)

    async def make(self, run, channel, attempt, backup):
        channel.head(200, {
            'Content-Type': 'text/event-stream',
            'Transfer-Encoding': 'chunked',
            **self.seal(attempt),
        })
        while run.made < run.pieces:
            await asyncio.sleep(STEP_SECONDS)
            if run.stopped:
                return channel.reset()
            if channel.closed:
                return channel.reset()
            run.made += 1
            self.worked.setdefault(attempt, []).append(now())
            if backup in RUNNERS and run.made % 8 == 0:
                RUNNERS[backup].copies[attempt] = run
            channel.chunk(f'id: {run.made}\ndata: {attempt} {run.made}\n\n'.encode())
        channel.end()
        await channel.writer.drain()
        self.rig.record(f'{self.identity} has made {attempt}')

    def resume(self, run, last):
        """Let a run go on after the event with an id."""
        run.made = last

    def take_copy(self, copied, attempt):
        handle = copied.rpartition('/')[2]
        source = self.copies.pop(handle, None)
        if source is None or source.attempt != attempt:
            return None
        return Run(attempt, source.prompt, source.pieces, source.made)

    async def move(self, call, channel):
        """Copy a run's memory; moves queue on the links of both ends."""
        run = self.runs.get(call['id'])
        target = RUNNERS.get(call['to'])
        if run is None:
            return await channel.json(404, {})
        if run.copying:
            return await channel.json(409, {})
        if target is None:
            return await channel.json(503, {})
        if call.get('last'):
            run.stopped = True
            self.rig.record(f'{self.identity} stops {run.attempt}')
        run.copying = True
        new = run.tokens - run.copied.get(call['to'], 0)
        seconds = new * KV_BYTES * 8 / (LINK_MBPS * 1e6)
        if target.zone != self.zone:
            seconds *= 2
        begins = max(now(), self.link_free_at, target.link_free_at)
        ends = begins + seconds
        self.link_free_at = target.link_free_at = ends
        made = run.made
        await asyncio.sleep(ends - now())
        run.copying = False
        run.copied[call['to']] = run.prompt + 4 * made
        handle = f'h{run.attempt}'
        target.copies[handle] = run
        await channel.json(200, {'handle': handle, 'createRevision': made})

    async def close(self):
        if self.beating is not None:
            self.beating.cancel()
        self.server.close()


RUNNERS = {}
BORN = 1_790_000_000_000

"""A runner loses the answer of one stream, and its run goes on.

The stand-ins follow PROTOCOL.md: engines with backups and moves. Three of four
drop a run when its channel closes, `i-0` does not. A run also ends where
`POST /-/kv-move` is called for it with `last`.
"""

import asyncio
import json
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / 'rig2'))

import rig

#: Streams, and how many of them are sent at the same time.
STREAMS = 40
AT_ONCE = 20
EVENTS = 40
EVENT_SECONDS = 0.1
#: Event after which the answer is lost, and the one stream in which it is.
LOST_AFTER = 10
#: The bound of the rule, in seconds.
BOUND = 0.4


class Run:
    """One run at one runner."""

    def __init__(self, runner, attempt, after):
        self.runner, self.attempt, self.after = runner, attempt, after
        self.began = self.worked = time.monotonic()
        self.made = after
        self.is_stopped = False


class Engine(rig.Runner):
    """An engine; `copies` has the events of each backup, by address and id."""

    runs = []
    copies = {}
    losses = 0

    async def answer_platform(self, request, writer):
        if request.path == '/-/kv-move':
            writer.write(self.move(json.loads(request.body)))
            await writer.drain()
            return True
        return await super().answer_platform(request, writer)

    def move(self, body):
        """Copy a run; with `last`, stop it before."""
        self.say(f'kv-move {body}')
        for run in self.runs:
            if run.runner is self and run.attempt == body['id']:
                run.is_stopped = bool(body.get('last'))
                handle = f'h-{run.attempt}'
                self.copies[body['to'], handle] = run
                self.copies[self.address, handle] = run
                answer = {'handle': handle, 'createRevision': run.made}
                return rig.as_json(200, answer)
        return rig.as_json(404, {})

    async def handle(self, request, reader, writer):
        await rig.read_body(reader, request)
        after = 0
        source = request.headers.get('kv-from')
        if source is not None:
            address, _, handle = source.partition('/')
            if (address, handle) not in self.copies:
                writer.write(rig.encode(503, self.echo(request, **rig.NOT_RUN)))
                return True
            after = int(request.headers['last-event-id'])
        run = Run(self, request.attempt, after)
        backup = request.headers.get('x-turmericyard-kv-backup')
        if backup is not None:
            self.copies[backup, request.attempt] = run
        self.runs.append(run)
        self.ran.append(request.attempt)
        self.say(f'runs {run.attempt} from event {after + 1} on')
        await self.stream(run, request, reader, writer)
        return False

    async def stream(self, run, request, reader, writer):
        seal = f'{self.identity}.{run.attempt}'
        fields = self.echo(request, **{rig.SEAL: seal})
        fields['Content-Type'] = 'text/event-stream'
        fields['Transfer-Encoding'] = 'chunked'
        lines = ''.join(f'{name}: {text}\r\n' for name, text in fields.items())
        writer.write(f'HTTP/1.1 200 OK\r\n{lines}\r\n'.encode())
        closed = asyncio.ensure_future(reader.read(1))
        is_lost = False
        for number in range(run.after + 1, EVENTS + 1):
            await asyncio.sleep(EVENT_SECONDS)
            if run.is_stopped or (closed.done() and not is_lost):
                self.say(f'drops {run.attempt} at event {number}')
                closed.cancel()
                return
            run.made, run.worked = number, time.monotonic()
            if is_lost:
                continue
            event = f'id: {number}\ndata: {run.attempt}-{number}\n\n'.encode()
            writer.write(b'%x\r\n%b\r\n' % (len(event), event))
            if self.loses(number):
                self.say(f'loses the answer of {run.attempt}, which runs on')
                rig.reset(writer)
                is_lost = True
        self.say(f'ends the run of {run.attempt}')
        if not is_lost:
            closed.cancel()
            writer.write(b'0\r\n\r\n')
            await writer.drain()

    def loses(self, number):
        """Return whether the answer is lost now: once, at `i-0`."""
        if not rig.TROUBLE or self.identity != 'i-0' or number != LOST_AFTER:
            return False
        Engine.losses += 1
        return Engine.losses == 1


async def ask_stream(deployment, number, record):
    attempt = f'a-{number}'
    headers = rig.client_headers(
        attempt,
        39000,
        **{
            'X-Turmericyard-Model': 'm',
            'X-Turmericyard-Token-Count': '400,300',
            'X-Turmericyard-Prompt-Prefix': f'5c1e07a2:79,{number:08x}:321',
        },
    )
    node = deployment.nodes[number % len(deployment.nodes)]
    answer = await rig.ask(node.front, 'POST', '/sheet/1', headers, b'prompt')
    record(f'client: {attempt} got {answer.describe()}')


def overlaps(runs):
    """Yield how long a runner still worked on what went on at another one."""
    for later in runs:
        for earlier in runs:
            if earlier.attempt != later.attempt or earlier is later:
                continue
            seconds = earlier.worked - later.began
            if earlier.began < later.began and seconds > BOUND:
                yield (
                    f'{later.attempt} went on at {later.runner.identity}, and'
                    f' {earlier.runner.identity} still worked on it'
                    f' {seconds:.2f} s later'
                )


async def case(record):
    runners = [Engine(f'i-{number}', 'llm', record) for number in range(4)]
    route = rig.route('sheets', '/sheet/', 'streaming', 'llm', 39000, 1800)
    table = rig.manifest(1, [route], [rig.engine_service('llm')])
    async with rig.Deployment(record, table, runners) as deployment:
        for first in range(0, STREAMS, AT_ONCE):
            await asyncio.gather(
                *(
                    ask_stream(deployment, number, record)
                    for number in range(first, first + AT_ONCE)
                )
            )
        await asyncio.sleep(EVENTS * EVENT_SECONDS)
    if len({run.attempt for run in Engine.runs}) < STREAMS:
        raise rig.CannotRun('not all streams ran')
    if rig.TROUBLE and not Engine.losses:
        raise rig.CannotRun('no answer was lost')
    return list(overlaps(Engine.runs))


rig.play(case, __file__)

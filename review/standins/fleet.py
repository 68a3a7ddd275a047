"""Stand-ins of the platform for the cases: store, runners, clients, machines.

They follow PROTOCOL.md and DEPLOY.md and use the standard library only. All
addresses are loopback addresses of one random network 127.x.y.0.
"""

import asyncio
import base64
import json
import os
import random
import shutil
import signal
import socket
import struct
import subprocess
import sys
import tempfile
import time
from dataclasses import dataclass, field
from pathlib import Path
from urllib.parse import parse_qsl, unquote, urlsplit

ROOT = Path(__file__).parents[2]
HOST = 'yard.example'
KEY = 'key-of-granite-1'
TENANT = 'granite'
SEAL = ('X-Turmericyard-Response-Seal', '3e1b.07.5a2.600.0.c9f2a4d1')
ATTEMPT = 'x-turmericyard-attempt-id'


# ---------------------------------------------------------------- HTTP


@dataclass
class Request:
    method: str
    target: str
    path: str
    query: dict
    headers: dict
    body: bytes


async def read_request(reader):
    """Return the next request of a connection, None at its end."""
    head = await reader.readuntil(b'\r\n\r\n')
    first, *lines = head.decode('latin-1').split('\r\n')
    method, target, _ = first.split(' ', 2)
    headers = {}
    for line in lines:
        if line:
            name, _, value = line.partition(':')
            headers[name.strip().lower()] = value.strip()
    body = b''
    if 'chunked' in headers.get('transfer-encoding', ''):
        while True:
            size = int((await reader.readline()).split(b';')[0], 16)
            body += (await reader.readexactly(size + 2))[:size]
            if not size:
                break
    elif headers.get('content-length'):
        body = await reader.readexactly(int(headers['content-length']))
    parts = urlsplit(target)
    return Request(
        method,
        target,
        unquote(parts.path),
        dict(parse_qsl(parts.query, keep_blank_values=True)),
        headers,
        body,
    )


def encode_head(status, headers):
    lines = [f'HTTP/1.1 {status} Status']
    lines += [f'{name}: {value}' for name, value in headers]
    return ('\r\n'.join(lines) + '\r\n\r\n').encode()


async def send(writer, status, headers=(), body=b''):
    """Send a complete answer."""
    lines = [*headers, ('Content-Length', len(body))]
    writer.write(encode_head(status, lines) + body)
    await writer.drain()


def chunk(data):
    return b'%x\r\n%s\r\n' % (len(data), data)


async def serve(address, handler):
    """Serve connections; `handler(request, writer)` returns False to close."""
    host, _, port = address.rpartition(':')

    async def connected(reader, writer):
        try:
            while True:
                request = await read_request(reader)
                if await handler(request, reader, writer) is False:
                    return
        except (OSError, EOFError, asyncio.IncompleteReadError, ValueError):
            return
        finally:
            writer.close()

    return await asyncio.start_server(connected, host, int(port), limit=2**20)


@dataclass
class Answer:
    """What a client got; `whole` when the answer came to its end."""

    status: int = 0
    headers: dict = field(default_factory=dict)
    body: bytes = b''
    whole: bool = False
    error: str = ''
    seconds: float = 0


async def ask(address, method, target, headers=(), body=b'', seconds=5.0):
    """Send one request on a new connection and return what came back."""
    began = time.monotonic()
    answer = Answer()
    writer = None
    try:
        async with asyncio.timeout(seconds):
            host, _, port = address.rpartition(':')
            reader, writer = await asyncio.open_connection(host, int(port))
            lines = [('Host', HOST), *headers]
            if body or method == 'POST':
                lines.append(('Content-Length', len(body)))
            head = [f'{method} {target} HTTP/1.1']
            head += [f'{name}: {value}' for name, value in lines]
            writer.write(('\r\n'.join(head) + '\r\n\r\n').encode() + body)
            await writer.drain()
            await read_answer(reader, answer)
    except (OSError, EOFError, ValueError, TimeoutError) as error:
        answer.error = type(error).__name__
    finally:
        if writer is not None:
            writer.close()
    answer.seconds = time.monotonic() - began
    return answer


async def read_answer(reader, answer):
    head = (await reader.readuntil(b'\r\n\r\n')).decode('latin-1')
    first, *lines = head.split('\r\n')
    answer.status = int(first.split(' ')[1])
    for line in lines:
        if line:
            name, _, value = line.partition(':')
            answer.headers[name.strip().lower()] = value.strip()
    if 'chunked' in answer.headers.get('transfer-encoding', ''):
        while True:
            size = int((await reader.readline()).split(b';')[0], 16)
            answer.body += (await reader.readexactly(size + 2))[:size]
            if not size:
                break
    elif 'content-length' in answer.headers:
        length = int(answer.headers['content-length'])
        answer.body = await reader.readexactly(length)
    else:
        answer.body = await reader.read()
    answer.whole = True


# ---------------------------------------------------------------- store


@dataclass
class Item:
    value: bytes
    revision: int
    created: int
    lease: int


class Store:
    """The platform's metadata store; each machine has a link of its own to it.

    It turns every second call on a link in `turned_away` away, with 503.
    """

    def __init__(self):
        self.items = {}
        self.history = []
        self.revision = 100
        self.leases = {}
        self.numbers = 7
        self.turned_away = set()
        self.calls = {}
        self.changed = asyncio.Condition()

    async def listen(self, link, address):
        async def handler(request, _reader, writer):
            return await self.answer(link, request, writer)

        return await serve(address, handler)

    async def answer(self, link, request, writer):
        number = self.calls[link] = self.calls.get(link, 0) + 1
        if link in self.turned_away and number % 2:
            status, fields = 503, {}
        else:
            status, fields = await self.carry_out(request)
        body = json.dumps(fields).encode()
        await send(writer, status, [('Content-Type', 'application/json')], body)

    async def carry_out(self, request):
        self.lapse()
        path = request.path
        if path == '/-/kv-key':
            key = request.query['key']
            if key not in self.items:
                return 404, {'currentRev': self.revision}
            return 200, {**self.shown(key), 'currentRev': self.revision}
        if path == '/-/kv-range':
            return self.range(request.query)
        if path == '/-/kv-watch':
            return await self.watch(request.query)
        fields = json.loads(request.body or b'{}')
        if path == '/-/kv-txn':
            return await self.transact(fields)
        if path == '/-/kv-lease':
            self.numbers += 1
            seconds = fields['ttlMs'] / 1000
            self.leases[self.numbers] = (seconds, time.monotonic() + seconds)
            return 200, {'lease': self.numbers, 'ttlMs': fields['ttlMs']}
        number = int(path.rpartition('/')[2])
        if number not in self.leases:
            return 404, {}
        seconds, _ = self.leases[number]
        if path.startswith('/-/kv-keep/'):
            self.leases[number] = (seconds, time.monotonic() + seconds)
            return 200, {'ttlMs': int(seconds * 1000)}
        self.end_lease(number)
        return 200, {}

    def shown(self, key):
        item = self.items[key]
        return {
            'key': key,
            'value': base64.b64encode(item.value).decode(),
            'revision': item.revision,
            'createRevision': item.created,
            'lease': item.lease,
        }

    def range(self, query):
        keys = sorted(
            key
            for key in self.items
            if key.startswith(query.get('pathPrefix', ''))
            and key > query.get('after', '')
        )
        page = keys[:500]
        return 200, {
            'items': [self.shown(key) for key in page],
            'morePages': len(keys) > len(page),
            'currentRev': self.revision,
        }

    async def watch(self, query):
        after = int(query['after'])
        ends = time.monotonic() + int(query['waitMs']) / 1000
        prefix = query.get('pathPrefix', '')
        while True:
            if after > self.revision:
                return 410, {}
            events = [
                self.event(revision, key, item)
                for revision, key, item in self.history
                if revision > after and key.startswith(prefix)
            ]
            left = ends - time.monotonic()
            if events or left <= 0:
                return 200, {'events': events, 'currentRev': self.revision}
            try:
                async with asyncio.timeout(min(left, 0.2)), self.changed:
                    await self.changed.wait()
            except TimeoutError:
                self.lapse()

    def event(self, revision, key, item):
        if item is None:
            return {'key': key, 'revision': revision, 'tombstone': True}
        return {
            'key': key,
            'value': base64.b64encode(item.value).decode(),
            'revision': revision,
            'createRevision': item.created,
            'lease': item.lease,
        }

    async def transact(self, fields):
        for row in fields.get('precondition', ()):
            item = self.items.get(row['key'])
            if (item.revision if item else 0) != row['revision']:
                return 412, {'items': [self.shown(row['key'])] if item else []}
        for write in fields.get('writes', ()):
            lease = write.get('lease', 0)
            if lease and lease not in self.leases:
                return 404, {}
            self.put(write['key'], base64.b64decode(write['value']), lease)
        for key in fields.get('remove', ()):
            self.drop(key)
        await self.notify()
        return 200, {'revision': self.revision}

    def put(self, key, value, lease=0):
        self.revision += 1
        known = self.items.get(key)
        created = known.created if known else self.revision
        self.items[key] = Item(value, self.revision, created, lease)
        self.history.append((self.revision, key, self.items[key]))
        return self.revision

    def drop(self, key):
        if self.items.pop(key, None) is not None:
            self.revision += 1
            self.history.append((self.revision, key, None))

    async def notify(self):
        async with self.changed:
            self.changed.notify_all()

    async def write(self, key, fields):
        """Write as the operator or a runner does; the return acknowledges."""
        self.put(key, json.dumps(fields).encode())
        await self.notify()

    async def remove(self, key):
        self.drop(key)
        await self.notify()

    def end_lease(self, number):
        self.leases.pop(number)
        for key, item in tuple(self.items.items()):
            if item.lease == number:
                self.drop(key)

    def lapse(self):
        now = time.monotonic()
        for number, (_, until) in tuple(self.leases.items()):
            if until < now:
                self.end_lease(number)


# ---------------------------------------------------------------- fleet


def as_toml(value):
    if isinstance(value, bool):
        return 'true' if value else 'false'
    if isinstance(value, (list, tuple)):
        return '[' + ', '.join(map(as_toml, value)) + ']'
    return json.dumps(value)


def toml(fields):
    plain = [(k, v) for k, v in fields.items() if not isinstance(v, dict)]
    tables = [(k, v) for k, v in fields.items() if isinstance(v, dict)]
    lines = [f'{key} = {as_toml(value)}' for key, value in plain]
    for name, table in tables:
        lines.append(f'[{name}]')
        lines += [f'{key} = {as_toml(value)}' for key, value in table.items()]
    return '\n'.join(lines) + '\n'


@dataclass
class Node:
    """A machine with one process of the system."""

    name: str
    ip: str
    zone: str
    fleet: 'Fleet'
    process: subprocess.Popen | None = None

    @property
    def front(self):
        return f'{self.ip}:8740'

    @property
    def ready(self):
        return f'{self.ip}:8749'

    @property
    def control(self):
        return f'{self.ip}:8748'

    @property
    def directory(self):
        return f'{self.ip}:8746'

    def settings(self):
        zones = {zone: 'new-england' for zone in self.fleet.zones}
        return {
            'nodeName': self.name,
            'role': 'node',
            'machineClass': 'edge',
            'serves': ['edge', 'control_plane', 'directory'],
            'ip': self.ip,
            'zone': self.zone,
            'region': 'new-england',
            'internalPorts': [7200, 7215],
            'seeds': [node.control for node in self.fleet.nodes[:3]],
            'bootstrap': True,
            'faultCounted': False,
            'discovery': 'platform',
            'entry': 'directory',
            'heartbeatMs': 1200,
            'zones': zones,
            'listen': {
                'front': self.front,
                'ready': self.ready,
                'control': self.control,
                'directory': self.directory,
            },
            'limits': {
                'cpuShare': 0.537,
                'cores': 2,
                'memoryMb': 300,
                'maxFds': 4100,
                'linkMbps': 1000.0,
                'diskMb': 0,
            },
            'faultTolerance': {'machines': 2, 'zones': 1, 'regions': 0},
            'bounds': {
                'seedLagS': 3,
                'reuseDelayS': 2,
                'stableWindowMs': 3000,
                'ackMs': 4000,
                'catchUpS': 4,
                'drainMs': 2000,
                'graceS': 8,
                'lossSlackMs': 200,
                'configApplyMs': 2000,
                'downgradeSlackMs': 250,
                'stretchMaxMs': 5000,
                'retryBudgetRatio': 0.2,
                'budgetWindowS': 10,
                'budgetExtra': 54,
                'coldOverage': 1.5,
                'coldSlack': 5,
                'evacuateMs': 5000,
                'recoveryS': 12,
                'passMs': 120,
                'reuseWindowS': 8.6,
                'ttl_max_s': 5,
            },
            'platform': {
                'address': self.fleet.store_links[self.name],
                'form': 'kv',
                'writesPerS': 400,
                'readsPerS': 2000,
                'historyS': 20,
                'valueBytes': 1048576,
                'ttlMinMs': 1000,
            },
        }

    def start(self):
        """Start the process with the command of the deploy file."""
        path = self.fleet.folder / f'{self.name}.toml'
        path.write_text(toml(self.settings()))
        log = (self.fleet.folder / f'{self.name}.log').open('ab')
        kept = {k: os.environ[k] for k in ('PATH', 'HOME') if k in os.environ}
        self.process = subprocess.Popen(
            [sys.executable, '-S', 'target/deps/bin/turmericyard-node'],
            cwd=ROOT,
            env={
                **kept,
                'PYTHONPATH': str(ROOT / 'target' / 'deps'),
                'PYTHONDONTWRITEBYTECODE': '1',
                'TURMERICYARD_BOOT': str(path),
            },
            stdin=subprocess.DEVNULL,
            stdout=log,
            stderr=subprocess.STDOUT,
        )
        log.close()

    def signal(self, number):
        if self.process is not None and self.process.poll() is None:
            self.process.send_signal(number)

    def kill(self):
        self.signal(signal.SIGKILL)
        if self.process is not None:
            self.process.wait()

    async def is_ready(self):
        answer = await ask(self.ready, 'GET', '/-/readiness', seconds=1.0)
        return answer.status == 200

    async def named(self, zone):
        """Return the addresses that the directory of this node gives."""
        target = f'/-/resolve?name={HOST}&region=new-england&zone={zone}'
        answer = await ask(self.directory, 'GET', target, seconds=1.0)
        if answer.status != 200:
            return None
        return json.loads(answer.body)['addresses']

    def log_lines(self, word=''):
        path = self.fleet.folder / f'{self.name}.log'
        text = path.read_text('utf-8', 'replace') if path.exists() else ''
        return [line for line in text.splitlines() if word in line]


class Fleet:
    """Machines, the store and a record of what happened."""

    def __init__(
        self, case, nodes, zones=('nashua-a', 'nashua-b', 'worcester')
    ):
        self.began = time.monotonic()
        self.case = Path(case)
        self.record = (self.case / 'record.txt').open('w')
        self.folder = Path(tempfile.mkdtemp(prefix='review-'))
        self.zones = zones
        self.net = f'127.{random.randint(20, 250)}.{random.randint(1, 250)}'
        self.store = Store()
        self.store_links = {}
        self.nodes = []
        self.trouble = os.environ.get('TROUBLE', '1') != '0'
        self.numbers = 0
        for number in range(nodes):
            zone = zones[number % len(zones)]
            name = f'edge-{zone}-{number // len(zones) + 1}'
            node = Node(name, f'{self.net}.{10 + number}', zone, self)
            self.nodes.append(node)
            self.store_links[name] = f'{self.net}.{200 + number}:8742'

    def note(self, text):
        seconds = time.monotonic() - self.began
        print(f'{seconds:8.3f} {text}', file=self.record, flush=True)

    async def open(self, manifest):
        """Write the manifest, start all machines, wait until they are ready."""
        self.store.put('op/config', json.dumps(manifest).encode())
        for name, address in self.store_links.items():
            await self.store.listen(name, address)
        for node in self.nodes:
            node.start()
        for node in self.nodes:
            await until(node.is_ready, 15)
        self.note(f'{len(self.nodes)} machines are ready')

    def close(self):
        """End every process and remove the folder."""
        for node in self.nodes:
            if node.process is not None and node.process.poll() is None:
                node.process.kill()
        for node in self.nodes:
            if node.process is not None:
                node.process.wait()
        if os.environ.get('KEEP'):
            print(self.folder)
        else:
            shutil.rmtree(self.folder, ignore_errors=True)
        self.record.close()

    def request_headers(self, deadline_ms, tokens=None):
        """Return the headers of a new client attempt, and its id."""
        self.numbers += 1
        attempt = f'{random.getrandbits(44):011x}{self.numbers:05x}'
        headers = [
            ('X-Turmericyard-Attempt-Id', attempt),
            ('X-Turmericyard-Deadline-Ms', deadline_ms),
            ('Authorization', f'Bearer {KEY}'),
        ]
        if tokens is not None:
            prompt, output = tokens
            own = random.getrandbits(32)
            headers += [
                ('X-Turmericyard-Model', 'm'),
                ('X-Turmericyard-Token-Count', f'{prompt},{output}'),
                (
                    'X-Turmericyard-Prompt-Prefix',
                    f'5c1e07a2:{prompt // 2},{own:08x}:{prompt - prompt // 2}',
                ),
            ]
        return attempt, headers


class Runner:
    """A runner: its record in the store and its answers.

    `answer(request, attempt, reader, writer)` of a subclass or a function
    gives the answer to a request that this runner may run.
    """

    def __init__(self, fleet, number, service, answer, slots=6):
        self.fleet = fleet
        self.identity = f'i-{random.getrandbits(32):08x}'
        self.address = f'{fleet.net}.{100 + number}:9000'
        self.service = service
        self.give = answer
        self.slots = slots
        self.zone = fleet.zones[number % len(fleet.zones)]
        self.state = 'ready'
        self.registered = True
        self.born = int(time.time() * 1000)
        self.seq = 0
        #: Attempt, time of arrival and outcome of each request.
        self.arrivals = []

    def entry(self):
        self.seq += 1
        return {
            'service': self.service,
            'address': self.address,
            'zone': self.zone,
            'version': 1,
            'slots': self.slots,
            'state': self.state,
            'coldRemainingMs': 0,
            'seq': self.seq,
            'born': self.born,
        }

    async def check_in(self):
        if self.registered:
            await self.fleet.store.write(
                f'servers/{self.identity}', self.entry()
            )

    async def run(self):
        while True:
            await self.check_in()
            await asyncio.sleep(1.2)

    async def open(self):
        self.server = await serve(self.address, self.handle)
        await self.check_in()
        self.task = asyncio.create_task(self.run())

    async def handle(self, request, reader, writer):
        if request.path == '/health':
            ok = self.state == 'ready'
            await send(
                writer,
                200 if ok else 503,
                [('X-Turmericyard-Instance-Id', self.identity)],
            )
            return True
        if request.path == '/-/report':
            fields = {'stage': 'both', 'state': self.state, 'busy': False}
            await send(writer, 200, (), json.dumps(fields).encode())
            return True
        if request.path.startswith('/-/'):
            await send(writer, 404)
            return True
        attempt = request.headers.get(ATTEMPT)
        expected = request.headers.get('x-turmericyard-expect-instance')
        echo = ('X-Turmericyard-Attempt-Id', attempt)
        not_run = ('X-Turmericyard-Not-Executed', '1')
        if attempt is None:
            await send(writer, 400, [not_run])
            return True
        if expected not in (None, self.identity):
            await send(writer, 421, [echo, not_run])
            return True
        self.arrivals.append((attempt, time.monotonic()))
        return await self.give(self, request, attempt, reader, writer)


class CrashingRunner(Runner):
    """A runner that can crash; it is back after `away` seconds."""

    away = 2.0

    async def open(self):
        self.writers = set()
        self.crashes = []
        await super().open()

    async def handle(self, request, reader, writer):
        self.writers.add(writer)
        try:
            return await super().handle(request, reader, writer)
        finally:
            self.writers.discard(writer)

    def crash(self, attempt):
        """Reset all channels and refuse new ones, as a killed process does."""
        self.crashes.append((time.monotonic(), attempt))
        self.fleet.note(f'runner {self.identity} crashes on {attempt}')
        self.registered = False
        self.server.close()
        for writer in tuple(self.writers):
            sock = writer.get_extra_info('socket')
            linger = struct.pack('ii', 1, 0)
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
            writer.transport.abort()
        self.writers.clear()
        self.returning = asyncio.create_task(self.come_back())

    async def come_back(self):
        await asyncio.sleep(self.away)
        self.born = int(time.time() * 1000)
        self.seq = 0
        self.server = await serve(self.address, self.handle)
        self.registered = True
        await self.check_in()


async def until(check, seconds):
    """Wait until an asynchronous check holds."""
    ends = time.monotonic() + seconds
    while not await check():
        if time.monotonic() > ends:
            raise TimeoutError(f'{check} does not hold after {seconds} s')
        await asyncio.sleep(0.1)


def manifest(version=1, **changes):
    """Return a manifest like that of a small deployment."""
    common = {'host': HOST, 'anonymous': False, 'priority': 1}
    return {
        'version': version,
        'routes': [
            {
                **common,
                'name': 'harvest-sheet',
                'pathPrefix': '/sheet/',
                'kind': 'streaming',
                'service': 'turmeric-pool',
                'timeoutMs': 39000,
                'targetLatencyMs': 1800,
                'gapAimMs': 180,
                'attempts': 1,
                'sticky': True,
            },
            {
                **common,
                'name': 'donor-check',
                'pathPrefix': '/donor/',
                'kind': 'streaming',
                'service': 'turmeric-pool',
                'timeoutMs': 6000,
                'targetLatencyMs': 1500,
                'gapAimMs': 180,
                'attempts': 1,
                'sticky': True,
            },
            {
                **common,
                'name': 'crush-post',
                'pathPrefix': '/crush/',
                'kind': 'non_idempotent',
                'service': 'yard-ledger',
                'timeoutMs': 1500,
                'targetLatencyMs': 150,
                'attempts': 1,
            },
            {
                **common,
                'name': 'stock-lookup',
                'pathPrefix': '/stock/',
                'kind': 'idempotent',
                'service': 'yard-ledger',
                'timeoutMs': 1500,
                'targetLatencyMs': 150,
                'attempts': 2,
            },
        ],
        'services': [
            {
                'name': 'turmeric-pool',
                'coldPerS': 30,
                'engine': {
                    'slots': 64,
                    'kvCapacityTokens': 34530,
                    'stride': 4,
                    'moves': True,
                    'backups': False,
                },
            },
            {'name': 'yard-ledger'},
        ],
        'limits': {
            'maxHeaderBytes': 16384,
            'maxBodyBytes': 4194304,
            'headerTimeoutMs': 5000,
            'idleTimeoutMs': 15000,
        },
        'tenants': [{'name': TENANT, 'apiKeys': [KEY]}],
        **changes,
    }


async def answer_call(runner, request, attempt, _reader, writer):
    """Answer a call as a sound runner does."""
    await asyncio.sleep(0.03)
    echo = ('X-Turmericyard-Attempt-Id', attempt)
    await send(
        writer, 200, [echo, SEAL], b'done by ' + runner.identity.encode()
    )
    return True


async def begin_events(writer, attempt, *, sealed=True):
    """Send the head of a stream."""
    headers = [
        ('X-Turmericyard-Attempt-Id', attempt),
        ('Content-Type', 'text/event-stream'),
        ('Transfer-Encoding', 'chunked'),
    ]
    if sealed:
        headers.append(SEAL)
    writer.write(encode_head(200, headers))
    await writer.drain()


async def send_event(writer, attempt, number):
    text = f'id: {number}\ndata: {attempt}-{number}\n\n'
    writer.write(chunk(text.encode()))
    await writer.drain()


async def end_events(writer):
    writer.write(b'0\r\n\r\n')
    await writer.drain()


async def answer_stream(_runner, _request, attempt, _reader, writer):
    """Answer a generation with ten events, as a sound runner does."""
    await asyncio.sleep(0.05)
    await begin_events(writer, attempt)
    for number in range(1, 11):
        await send_event(writer, attempt, number)
        await asyncio.sleep(0.05)
    await end_events(writer)
    return True


def main(case, run):
    """Run a case; exit with 1 if the rule was broken, 0 if not, else 2."""

    async def limited():
        async with asyncio.timeout(110):
            return await run(Path(case).parent)

    try:
        broken = asyncio.run(limited())
    except Exception as error:  # noqa: BLE001  the case could not run
        print(f'could not run: {error!r}', file=sys.stderr)
        sys.exit(2)
    sys.exit(1 if broken else 0)

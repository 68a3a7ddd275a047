"""Stand-ins of the platform for the scripts of this review: the store, runners,
clients, and the start and end of the project's own nodes.

Everything but the nodes runs in the event loop of the script. All addresses
are loopback addresses.
"""

import asyncio
import base64
import json
import os
import random
import signal
import socket
import struct
import subprocess
import sys
import tempfile
import time
from pathlib import Path
from urllib.parse import parse_qsl, urlsplit

ROOT = Path(__file__).resolve().parents[2]
HOST = 'review.example'
KEY = 'key-of-the-firm'
TENANT = 'firm'
RESET = struct.pack('ii', 1, 0)
TROUBLE = os.environ.get('TROUBLE', '1') != '0'
SEAL = 'X-Turmericyard-Response-Seal'
ATTEMPT = 'X-Turmericyard-Attempt-Id'
#: Receive buffer and segments of connections like those between machines.
WINDOW_BYTES = 65_536
SEGMENT_BYTES = 1_460
NOT_RUN = {'X-Turmericyard-Not-Executed': '1'}


class CannotRun(Exception):
    """The case could not be played; the script exits with 2."""


class Record:
    """Writes what was sent, answered and run, with the time since the start."""

    def __init__(self, path):
        self.began = time.monotonic()
        self.file = open(path, 'w', encoding='utf-8')

    def __call__(self, text):
        seconds = time.monotonic() - self.began
        self.file.write(f'{seconds:8.3f} s  {text}\n')
        self.file.flush()


def free_port(ip='127.0.0.1'):
    """Return a port below those that the system gives to outgoing connections."""
    while True:
        port = random.randrange(10_000, 18_000)
        with socket.socket() as probe:
            try:
                probe.bind((ip, port))
            except OSError:
                continue
            return port


def listen(ip, port):
    """Return a listener whose connections are like those of a link.

    Segments are as long as on Ethernet and windows are small. Those of loopback
    are 45 times as long, and the system's buffers grow to megabytes with them.
    """
    listener = socket.socket()
    listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    listener.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, WINDOW_BYTES)
    listener.setsockopt(socket.IPPROTO_TCP, socket.TCP_MAXSEG, SEGMENT_BYTES)
    listener.bind((ip, port))
    listener.listen(128)
    listener.setblocking(False)
    return listener


def reset(writer):
    """Reset a connection at once."""
    sock = writer.get_extra_info('socket')
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET)
    writer.transport.abort()


class Message:
    """A request or an answer: its first line, its headers in lower case, its body."""

    def __init__(self, first, headers):
        self.first = first
        self.headers = headers
        self.body = b''
        self.method, self.target = '', ''
        parts = first.split(' ')
        if not first.startswith('HTTP/'):
            self.method, self.target = parts[0], parts[1]
        self.path = urlsplit(self.target).path
        self.query = dict(parse_qsl(urlsplit(self.target).query))

    @property
    def attempt(self):
        return self.headers.get(ATTEMPT.lower(), '')


async def read_head(reader):
    """Return the next message without its body, None at the end."""
    try:
        raw = await reader.readuntil(b'\r\n\r\n')
    except asyncio.IncompleteReadError as error:
        if error.partial:
            raise
        return None
    return parse_head(raw)


def parse_head(raw):
    """Return the message whose head is at the beginning of some bytes."""
    head = raw.partition(b'\r\n\r\n')[0]
    first, *lines = head.decode('latin-1').split('\r\n')
    headers = {}
    for line in lines:
        name, _, text = line.partition(':')
        headers[name.strip().lower()] = text.strip()
    return Message(first, headers)


async def read_body(reader, message):
    """Read the body of a request."""
    if 'chunked' in message.headers.get('transfer-encoding', ''):
        while True:
            size = int((await reader.readline()).split(b';')[0], 16)
            message.body += await reader.readexactly(size)
            await reader.readline()
            if not size:
                return
    length = int(message.headers.get('content-length', 0))
    message.body = await reader.readexactly(length)


def encode(status, headers=None, body=b''):
    """Return a complete answer."""
    lines = [f'HTTP/1.1 {status} Status']
    fields = {'Content-Length': str(len(body)), **(headers or {})}
    lines += [f'{name}: {text}' for name, text in fields.items()]
    return '\r\n'.join((*lines, '', '')).encode() + body


def as_json(status, value):
    return encode(
        status, {'Content-Type': 'application/json'}, json.dumps(value).encode()
    )


class Server:
    """An HTTP/1.1 server; `answer` gets a request and the connection."""

    def __init__(self, ip='127.0.0.1', port=0):
        self.ip = ip
        self.port = port or free_port(ip)
        self.address = f'{ip}:{self.port}'
        self.listener = None
        self.writers = set()

    async def open(self):
        self.listener = await asyncio.start_server(
            self.serve, self.ip, self.port, limit=1 << 20
        )

    async def serve(self, reader, writer):
        self.writers.add(writer)
        try:
            while True:
                request = await read_head(reader)
                if request is None:
                    return
                if not await self.answer(request, reader, writer):
                    return
        except (OSError, EOFError, asyncio.CancelledError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()

    async def answer(self, request, reader, writer):
        raise NotImplementedError

    async def close(self):
        if self.listener is not None:
            self.listener.close()
        for writer in tuple(self.writers):
            writer.transport.abort()


class Store(Server):
    """The platform's metadata store, without faults."""

    def __init__(self):
        super().__init__()
        self.items = {}
        self.revision = 10
        self.history = []
        self.leases = {}
        self.next_lease = 100
        self.changed = asyncio.Event()

    def put(self, key, value, lease=0):
        raw = value if isinstance(value, bytes) else json.dumps(value).encode()
        self.revision += 1
        created = self.items.get(key, {}).get('createRevision', self.revision)
        self.items[key] = {
            'key': key,
            'value': base64.b64encode(raw).decode(),
            'revision': self.revision,
            'createRevision': created,
            'lease': lease,
        }
        self.note(dict(self.items[key]))

    def drop(self, key):
        if self.items.pop(key, None) is not None:
            self.revision += 1
            self.note({'key': key, 'revision': self.revision, 'tombstone': True})

    def note(self, event):
        self.history.append(event)
        self.changed.set()
        self.changed = asyncio.Event()

    def lapse(self):
        now = time.monotonic()
        for lease, (ends, _) in tuple(self.leases.items()):
            if ends < now:
                self.end_lease(lease)

    def end_lease(self, lease):
        self.leases.pop(lease, None)
        for key, item in tuple(self.items.items()):
            if item['lease'] == lease:
                self.drop(key)

    async def answer(self, request, reader, writer):
        await read_body(reader, request)
        self.lapse()
        body = json.loads(request.body) if request.body else {}
        writer.write(as_json(*await self.carry_out(request, body)))
        await writer.drain()
        return True

    async def carry_out(self, request, body):
        path, query = request.path, request.query
        if path == '/-/kv-key':
            item = self.items.get(query['key'])
            found = {**(item or {}), 'currentRev': self.revision}
            return (200 if item else 404), found
        if path == '/-/kv-range':
            return 200, self.page(query)
        if path == '/-/kv-watch':
            return 200, await self.watch(query)
        if path == '/-/kv-txn':
            return self.transact(body)
        if path == '/-/kv-lease':
            self.next_lease += 1
            seconds = body['ttlMs'] / 1000
            ends = time.monotonic() + seconds
            self.leases[self.next_lease] = (ends, seconds)
            return 200, {'lease': self.next_lease, 'ttlMs': body['ttlMs']}
        lease = int(path.rpartition('/')[2])
        if lease not in self.leases:
            return 404, {}
        seconds = self.leases[lease][1]
        if path.startswith('/-/kv-lease-end/'):
            self.end_lease(lease)
        else:
            self.leases[lease] = (time.monotonic() + seconds, seconds)
        return 200, {'ttlMs': int(seconds * 1000)}

    def page(self, query):
        keys = sorted(
            key
            for key in self.items
            if key.startswith(query.get('pathPrefix', ''))
            and key > query.get('after', '')
        )
        return {
            'items': [self.items[key] for key in keys[:500]],
            'morePages': len(keys) > 500,
            'currentRev': self.revision,
        }

    async def watch(self, query):
        ends = time.monotonic() + int(query['waitMs']) / 1000
        while True:
            events = [
                event
                for event in self.history
                if event['revision'] > int(query['after'])
                and event['key'].startswith(query.get('pathPrefix', ''))
            ]
            left = ends - time.monotonic()
            if events or left <= 0:
                return {'events': events, 'currentRev': self.revision}
            try:
                await asyncio.wait_for(self.changed.wait(), left)
            except asyncio.TimeoutError:
                continue

    def transact(self, body):
        for row in body.get('precondition', ()):
            item = self.items.get(row['key'])
            if (item['revision'] if item else 0) != row['revision']:
                return 412, {'items': [item] if item else []}
        for write in body.get('writes', ()):
            lease = write.get('lease', 0)
            if lease and lease not in self.leases:
                return 404, {}
            value = base64.b64decode(write['value'])
            self.put(write['key'], value, lease)
        for key in body.get('remove', ()):
            self.drop(key)
        return 200, {'revision': self.revision}


class Runner(Server):
    """A runner; `handle` answers requests that clients sent.

    `arrivals` has them as they arrived, `ran` the ids of those that it ran.
    """

    def __init__(self, identity, service, record, zone='a', slots=64):
        super().__init__()
        self.identity, self.service, self.zone = identity, service, zone
        self.slots = slots
        self.record = record
        self.arrivals = []
        self.ran = []
        self.sequence = 0
        self.born = int(time.time() * 1000)

    def entry(self, state='ready'):
        self.sequence += 1
        return {
            'service': self.service,
            'address': self.address,
            'zone': self.zone,
            'version': 'v1',
            'slots': self.slots,
            'state': state,
            'coldRemainingMs': 0,
            'born': self.born,
            'seq': self.sequence,
        }

    def beat(self, store, state='ready'):
        store.put(f'servers/{self.identity}', self.entry(state))

    def say(self, text):
        self.record(f'{self.identity}: {text}')

    def echo(self, request, **more):
        return {ATTEMPT: request.attempt, **more}

    async def answer(self, request, reader, writer):
        if request.path in {'/health', '/-/report'} or not request.attempt:
            await read_body(reader, request)
            return await self.answer_platform(request, writer)
        self.arrivals.append(request.attempt)
        expected = request.headers.get('x-turmericyard-expect-instance')
        if expected not in {None, self.identity}:
            await read_body(reader, request)
            headers = {**self.echo(request), 'X-Turmericyard-Instance-Id': self.identity}
            writer.write(encode(421, headers))
            return True
        return await self.handle(request, reader, writer)

    async def answer_platform(self, request, writer):
        if request.path == '/-/report':
            fields = {'stage': 'both', 'models': [], 'busy': False, 'queued': 0}
            fields |= {'running': 0, 'kvUsed': 0, 'kvTotal': 30000, 'handles': 0}
            fields |= {'state': 'ready', 'runs': [], 'seq': 0}
            writer.write(as_json(200, fields))
        elif request.path == '/health':
            headers = {'X-Turmericyard-Instance-Id': self.identity}
            writer.write(encode(200, headers))
        else:
            writer.write(encode(404))
        await writer.drain()
        return True

    async def handle(self, request, reader, writer):
        """Run a plain request."""
        await read_body(reader, request)
        self.ran.append(request.attempt)
        self.say(f'ran {request.attempt}')
        headers = self.echo(request, **{SEAL: f'{self.identity}.{request.attempt}'})
        writer.write(encode(200, headers, b'done by ' + self.identity.encode()))
        await writer.drain()
        return True


def route(name, prefix, kind, service, timeout_ms=8000, target_ms=1500, **more):
    return {
        'name': name,
        'host': HOST,
        'pathPrefix': prefix,
        'kind': kind,
        'service': service,
        'timeoutMs': timeout_ms,
        'targetLatencyMs': target_ms,
        'attempts': 1,
        'priority': 0,
        'anonymous': False,
        'resumable': False,
        'gapAimMs': 180,
        **more,
    }


def plain_service(name):
    return {
        'name': name,
        'healthCheck': '/health',
        'maxConnections': 100,
        'protocol': 'h1',
        'tls': False,
        'coldStartS': 0.0,
        'coldPerS': 0.0,
    }


def engine_service(name):
    engine = {
        'slots': 64,
        'kvCapacityTokens': 34530,
        'kvTokenBytes': 18432,
        'linkMbps': 2700.0,
        'moves': True,
        'backups': True,
        'stride': 4,
        'most': 12,
        'pinMs': 4000.0,
        'holdMs': 2000.0,
        'handleS': 5.0,
        'models': [{'name': 'm'}],
    }
    return {**plain_service(name), 'maxConnections': 432, 'engine': engine}


def manifest(version, routes, services):
    return {
        'version': version,
        'routes': routes,
        'services': services,
        'limits': {
            'maxHeaderBytes': 16384,
            'maxBodyBytes': 4194304,
            'headerTimeoutMs': 3000,
            'idleTimeoutMs': 15000,
        },
        'tenants': [{'name': TENANT, 'apiKeys': [KEY], 'priority': 1}],
    }


class Node:
    """One process of the project's node, with the command of the deploy file."""

    def __init__(self, name, ip, store, folder, seeds=(), zone='a'):
        self.name, self.ip, self.zone = name, ip, zone
        self.store, self.folder = store, folder
        ports = [free_port(ip) for _ in range(5)]
        self.front, self.ready, self.control, self.directory = (
            f'{ip}:{port}' for port in ports[:4]
        )
        self.peer_port = ports[4]
        self.seeds = seeds
        self.process = None

    def settings(self):
        seeds = json.dumps(list(self.seeds or (self.control,)))
        return f'''nodeName = "{self.name}"
role = "node"
machineClass = "edge"
serves = ["edge","control_plane","directory"]
ip = "{self.ip}"
zone = "{self.zone}"
region = "r"
internalPorts = [{self.peer_port},{self.peer_port}]
seeds = {seeds}
bootstrap = true
discovery = "platform"
entry = "directory"
heartbeatMs = 1200
[listen]
front = "{self.front}"
ready = "{self.ready}"
control = "{self.control}"
directory = "{self.directory}"
[limits]
cpuShare = 0.537
cores = 2
memoryMb = 300
maxFds = 4100
[bounds]
stableWindowMs = 3000
drainMs = 2000
graceS = 8
configApplyMs = 2000
retryBudgetRatio = 0.2
budgetWindowS = 10
budgetExtra = 54
coldOverage = 1.5
coldSlack = 5
ttl_max_s = 5
[platform]
address = "{self.store.address}"
form = "kv"
'''

    def start(self):
        path = self.folder / f'{self.name}.toml'
        path.write_text(self.settings(), 'utf-8')
        log = open(self.folder / f'{self.name}.log', 'ab')
        environment = {
            name: os.environ[name]
            for name in ('PATH', 'HOME', 'LANG')
            if name in os.environ
        }
        environment['TURMERICYARD_BOOT'] = str(path)
        environment['PYTHONPATH'] = str(ROOT / 'target' / 'deps')
        self.process = subprocess.Popen(
            ('python3', '-S', 'target/deps/bin/turmericyard-node'),
            cwd=ROOT,
            env=environment,
            stdin=subprocess.DEVNULL,
            stdout=log,
            stderr=subprocess.STDOUT,
        )
        log.close()

    def signal(self, number):
        if self.process is not None and self.process.poll() is None:
            self.process.send_signal(number)

    def end(self):
        self.signal(signal.SIGCONT)
        self.signal(signal.SIGKILL)
        if self.process is not None:
            self.process.wait()

    async def until_ready(self, seconds=20):
        ends = time.monotonic() + seconds
        while time.monotonic() < ends:
            if self.process.poll() is not None:
                raise CannotRun(f'{self.name} ended with {self.process.returncode}')
            try:
                answer = await ask(self.ready, 'GET', '/-/readiness', seconds=2)
            except OSError:
                answer = None
            if answer is not None and answer.status == 200:
                return
            await asyncio.sleep(0.05)
        raise CannotRun(f'{self.name} did not become ready')


class Answer:
    """What a client got.

    `complete` says whether the framing of HTTP ended the answer as whole;
    `error` why it did not.
    """

    def __init__(self):
        self.status = 0
        self.headers = {}
        self.body = b''
        self.complete = False
        self.error = ''

    def describe(self):
        end = 'complete' if self.complete else f'not complete ({self.error})'
        seal = self.headers.get(SEAL.lower(), 'none')
        return f'status {self.status}, seal {seal}, {len(self.body)} bytes, {end}'


async def read_answer(reader, answer):
    head = await read_head(reader)
    if head is None:
        answer.error = 'closed without an answer'
        return
    answer.status = int(head.first.split(' ')[1])
    answer.headers = head.headers
    if 'chunked' in head.headers.get('transfer-encoding', ''):
        while True:
            size = int((await reader.readuntil(b'\r\n')).split(b';')[0], 16)
            answer.body += await reader.readexactly(size)
            await reader.readexactly(2)
            if not size:
                break
    elif 'content-length' in head.headers:
        length = int(head.headers['content-length'])
        while len(answer.body) < length:
            piece = await reader.read(length - len(answer.body))
            if not piece:
                raise EOFError('closed inside the body')
            answer.body += piece
    else:
        answer.body = await reader.read()
    answer.complete = True


async def ask(address, method, target, headers=None, body=b'', seconds=30):
    """Send one request on a new connection and return its answer."""
    answer = Answer()
    ip, _, port = address.rpartition(':')
    reader, writer = await asyncio.open_connection(ip, int(port), limit=1 << 22)
    lines = {'Host': HOST, **(headers or {})}
    if body or method != 'GET':
        lines['Content-Length'] = str(len(body))
    head = f'{method} {target} HTTP/1.1\r\n'
    head += ''.join(f'{name}: {text}\r\n' for name, text in lines.items())
    try:
        writer.write(head.encode() + b'\r\n' + body)
        await asyncio.wait_for(read_answer(reader, answer), seconds)
    except asyncio.TimeoutError:
        answer.error = f'no end within {seconds} s'
    except (OSError, EOFError) as error:
        answer.error = repr(error)
    finally:
        writer.transport.abort()
    return answer


def client_headers(attempt, deadline_ms, **more):
    return {
        ATTEMPT: attempt,
        'X-Turmericyard-Deadline-Ms': str(deadline_ms),
        'Authorization': f'Bearer {KEY}',
        **more,
    }


class Deployment:
    """A store, runners and nodes; `async with` starts and ends them."""

    def __init__(self, record, table, runners, nodes=2):
        self.record = record
        self.table = table
        self.runners = runners
        self.count = nodes
        self.store = None
        self.nodes = []
        self.folder = tempfile.TemporaryDirectory(prefix='review-')
        self.beats = None

    async def __aenter__(self):
        if not (ROOT / 'target/deps/bin/turmericyard-node').exists():
            raise CannotRun('the build of the deploy file has not run')
        self.store = Store()
        await self.store.open()
        self.store.put('op/config', self.table)
        for runner in self.runners:
            await runner.open()
            runner.beat(self.store)
        self.beats = asyncio.ensure_future(self.renew())
        folder = Path(self.folder.name)
        for number in range(self.count):
            seeds = [node.control for node in self.nodes]
            ip = f'127.0.0.{number + 20}'
            node = Node(f'node-{number}', ip, self.store, folder, seeds)
            self.nodes.append(node)
        try:
            for node in self.nodes:
                node.start()
            for node in self.nodes:
                await node.until_ready()
            await asyncio.sleep(4)  # in touch: stableWindowMs and more
        except BaseException:
            await self.close()
            raise
        return self

    async def __aexit__(self, *_error):
        await self.close()

    async def renew(self):
        while True:
            await asyncio.sleep(1.2)
            for runner in self.runners:
                if f'servers/{runner.identity}' in self.store.items:
                    runner.beat(self.store)

    async def close(self):
        if self.beats is not None:
            self.beats.cancel()
        for node in self.nodes:
            node.end()
            kept = os.environ.get('KEEP_LOGS')
            if kept:
                log = Path(self.folder.name) / f'{node.name}.log'
                (Path(kept) / log.name).write_bytes(log.read_bytes())
        for server in (self.store, *self.runners):
            await server.close()
        self.folder.cleanup()


def play(case, script):
    """Run a case and exit with 1 if the rule was broken, 0 if it held, else 2.

    `case` gets the record and returns the sentences that say how the rule was
    broken.
    """
    record = Record(Path(script).resolve().parent / 'record.txt')
    record(f'TROUBLE={int(TROUBLE)}')
    try:
        broken = asyncio.run(asyncio.wait_for(case(record), 110))
    except (CannotRun, OSError, asyncio.TimeoutError) as error:
        record(f'the case could not run: {error!r}')
        sys.exit(2)
    for sentence in broken:
        record(f'BROKEN: {sentence}')
    record('the rule was broken' if broken else 'the rule held')
    print('broken' if broken else 'held')
    sys.exit(1 if broken else 0)

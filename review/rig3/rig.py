"""Stand-ins and helpers for the scripts of cases 11 to 15.

Standard library only: a platform store, runners, clients, and the start and
stop of the project's own nodes with the command of the deploy file.
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
import tempfile
import time
import tomllib
from pathlib import Path
from urllib.parse import parse_qsl, urlsplit

ROOT = Path(__file__).resolve().parents[2]
TROUBLE = os.environ.get('TROUBLE', '1') != '0'
HOST = 'ficu95.example'
KEY = 'xd9dnn2ctnfzs989anu6'
TENANT = 'huka270'
ATTEMPT = 'x-turmericyard-attempt-id'
SEAL = 'x-turmericyard-response-seal'
NOT_EXECUTED = 'x-turmericyard-not-executed'
BEGAN = time.monotonic()


def now():
    return time.monotonic() - BEGAN


class Record:
    """Lines of record.txt, each with the seconds since the start."""

    def __init__(self, path):
        self.file = open(path, 'w', encoding='utf-8')

    def __call__(self, text):
        print(f'{now():8.3f} {text}', file=self.file, flush=True)


def free_port(ip):
    with socket.socket() as sock:
        sock.bind((ip, 0))
        return sock.getsockname()[1]


# ---------------------------------------------------------------- HTTP server


class Request:
    def __init__(self, method, target, lines, body):
        self.method = method
        self.target = target
        parts = urlsplit(target)
        self.path = parts.path
        self.query = dict(parse_qsl(parts.query))
        self.lines = lines
        self.headers = {name.lower(): text for name, text in lines}
        self.body = body


class Channel:
    """The server's side of a channel."""

    def __init__(self, reader, writer):
        self.reader = reader
        self.writer = writer
        #: Headers of all answers.
        self.more = {}

    def head(self, status, headers):
        lines = [f'HTTP/1.1 {status} X']
        headers = {**headers, **self.more}
        lines += [f'{name}: {text}' for name, text in headers.items()]
        self.writer.write(('\r\n'.join(lines) + '\r\n\r\n').encode())

    async def send(self, status, headers=None, body=b''):
        self.head(status, {**(headers or {}), 'Content-Length': len(body)})
        self.writer.write(body)
        await self.writer.drain()

    async def json(self, status, found, headers=None):
        body = json.dumps(found).encode()
        headers = {'Content-Type': 'application/json', **(headers or {})}
        await self.send(status, headers, body)

    def chunk(self, data):
        self.writer.write(b'%x\r\n%s\r\n' % (len(data), data))

    def end(self):
        self.writer.write(b'0\r\n\r\n')

    def reset(self):
        """Send a reset: abort alone would end the channel in order."""
        sock = self.writer.get_extra_info('socket')
        if sock is not None and not self.writer.transport.is_closing():
            linger = struct.pack('ii', 1, 0)
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
        self.writer.transport.abort()

    @property
    def closed(self):
        return self.writer.transport.is_closing() or self.reader.at_eof()


async def read_request(reader):
    head = await reader.readuntil(b'\r\n\r\n')
    first, *rest = head[:-4].decode('latin-1').split('\r\n')
    method, target, _ = first.split(' ')
    lines = [tuple(map(str.strip, line.split(':', 1))) for line in rest]
    headers = {name.lower(): text for name, text in lines}
    body = b''
    if 'content-length' in headers:
        body = await reader.readexactly(int(headers['content-length']))
    elif headers.get('transfer-encoding') == 'chunked':
        while True:
            size = int((await reader.readuntil(b'\r\n')).split(b';')[0], 16)
            piece = await reader.readexactly(size + 2)
            if not size:
                break
            body += piece[:-2]
    return Request(method, target, lines, body)


async def serve(ip, port, handler):
    """Serve requests one after the other on each channel."""

    async def serve_channel(reader, writer):
        channel = Channel(reader, writer)
        try:
            while True:
                request = await read_request(reader)
                await handler(request, channel)
                if writer.transport.is_closing():
                    return
        except (OSError, EOFError, asyncio.LimitOverrunError, ValueError):
            pass
        except asyncio.IncompleteReadError:
            pass
        finally:
            writer.close()

    return await asyncio.start_server(serve_channel, ip, port, backlog=512)


# ---------------------------------------------------------------------- store


class Store:
    """The platform's metadata store; loses nothing that it acknowledged."""

    def __init__(self):
        self.items = {}
        self.revision = 10
        self.history = []
        self.leases = {}
        self.number = random.randrange(1000, 9000)
        self.changed = asyncio.Event()
        self.address = ''
        #: The header Store-Era, None for a store without it.
        self.era = None
        self.is_away = False

    async def open(self, ip):
        port = free_port(ip)
        self.server = await serve(ip, port, self.answer)
        self.address = f'{ip}:{port}'
        self.task = asyncio.create_task(self.lapse())

    async def lapse(self):
        while True:
            await asyncio.sleep(0.1)
            for lease, (ends, _) in tuple(self.leases.items()):
                if ends < time.monotonic():
                    self.end_lease(lease)

    def end_lease(self, lease):
        self.leases.pop(lease, None)
        for key, item in tuple(self.items.items()):
            if item['lease'] == lease:
                self.drop(key)

    def put(self, key, value, lease=0):
        if not isinstance(value, bytes):
            value = json.dumps(value).encode()
        self.revision += 1
        known = self.items.get(key)
        item = {
            'key': key,
            'value': base64.b64encode(value).decode(),
            'revision': self.revision,
            'createRevision': known['createRevision'] if known else self.revision,
            'lease': lease,
        }
        self.items[key] = item
        self.note(item)

    def drop(self, key):
        if self.items.pop(key, None) is not None:
            self.revision += 1
            self.note({'key': key, 'revision': self.revision, 'tombstone': True})

    def note(self, event):
        self.history.append(event)
        self.changed.set()
        self.changed = asyncio.Event()

    def back_up(self):
        """Return a copy of the content, with revisions and leases."""
        return dict(self.items), self.revision, list(self.history), dict(self.leases)

    def restore(self, copy):
        """Go on from a copy; what was acknowledged since is gone."""
        self.items, self.revision, self.history, self.leases = copy
        self.number = max(self.leases, default=0)
        self.era += 1
        self.changed.set()
        self.changed = asyncio.Event()

    async def answer(self, request, channel):
        await asyncio.sleep(0.002)
        if self.is_away:
            return channel.reset()
        if self.era is not None:
            channel.more = {'Store-Era': str(self.era)}
        path = request.path
        query = request.query
        body = json.loads(request.body) if request.body else {}
        if path == '/-/kv-key':
            item = self.items.get(query['key'])
            found = {**(item or {}), 'currentRev': self.revision}
            return await channel.json(200 if item else 404, found)
        if path == '/-/kv-range':
            prefix, after = query.get('pathPrefix', ''), query.get('after', '')
            keys = sorted(
                key for key in self.items if key.startswith(prefix) and key > after
            )
            found = {
                'items': [self.items[key] for key in keys[:500]],
                'morePages': len(keys) > 500,
                'currentRev': self.revision,
            }
            return await channel.json(200, found)
        if path == '/-/kv-watch':
            return await self.watch(query, channel)
        if path == '/-/kv-txn':
            return await self.transact(body, channel)
        if path == '/-/kv-lease':
            self.number += 1
            ttl = body['ttlMs']
            self.leases[self.number] = (time.monotonic() + ttl / 1000, ttl)
            return await channel.json(200, {'lease': self.number, 'ttlMs': ttl})
        lease = int(path.rpartition('/')[2])
        if lease not in self.leases:
            return await channel.json(404, {})
        ttl = self.leases[lease][1]
        if path.startswith('/-/kv-lease-end/'):
            self.end_lease(lease)
        else:
            self.leases[lease] = (time.monotonic() + ttl / 1000, ttl)
        return await channel.json(200, {'ttlMs': ttl})

    async def watch(self, query, channel):
        after, prefix = int(query['after']), query.get('pathPrefix', '')
        ends = time.monotonic() + int(query['waitMs']) / 1000
        while True:
            if self.is_away:
                return channel.reset()
            if self.era is not None:
                channel.more = {'Store-Era': str(self.era)}
            if after > self.revision:
                return await channel.json(410, {})
            events = [
                each
                for each in self.history
                if each['revision'] > after and each['key'].startswith(prefix)
            ]
            left = ends - time.monotonic()
            if events or left <= 0:
                found = {'events': events, 'currentRev': self.revision}
                return await channel.json(200, found)
            try:
                await asyncio.wait_for(self.changed.wait(), left)
            except asyncio.TimeoutError:
                pass

    async def transact(self, body, channel):
        for row in body.get('precondition') or ():
            item = self.items.get(row['key'])
            if (item['revision'] if item else 0) != row['revision']:
                return await channel.json(412, {'items': [item] if item else []})
        writes = body.get('writes') or ()
        for write in writes:
            if write['key'].startswith(('op/', 'servers/')):
                return await channel.json(403, {})
            if write.get('lease') and write['lease'] not in self.leases:
                return await channel.json(404, {})
        for write in writes:
            value = base64.b64decode(write['value'])
            self.put(write['key'], value, write.get('lease') or 0)
        for key in body.get('remove') or ():
            self.drop(key)
        return await channel.json(200, {'revision': self.revision})


# ---------------------------------------------------------------------- nodes

BOUNDS = {
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
    'strictRevoke': False,
    'revokeMs': 5000,
    'retryBudgetRatio': 0.2,
    'budgetWindowS': 10,
    'budgetExtra': 58,
    'coldOverage': 1.5,
    'coldSlack': 5,
    'evacuateMs': 5000,
    'recoveryS': 12,
    'passMs': 120,
    'reuseWindowS': 6.3,
    'ttl_max_s': 5,
}


def toml(table):
    plain = [
        f'{key} = {json.dumps(found)}'
        for key, found in table.items()
        if not isinstance(found, dict)
    ]
    inner = [
        f'\n[{key}]\n{toml(found)}'
        for key, found in table.items()
        if isinstance(found, dict)
    ]
    return '\n'.join((*plain, *inner)) + '\n'


class Node:
    """One process of the deploy file's role, with its settings."""

    def __init__(self, rig, name, zone, ip):
        self.rig = rig
        self.name = name
        self.zone = zone
        self.ip = ip
        ports = [free_port(ip) for _ in range(5)]
        self.front, self.ready, self.control, self.directory = (
            f'{ip}:{port}' for port in ports[:4]
        )
        self.peers = ports[4]
        self.process = None

    def start(self):
        rig = self.rig
        settings = {
            'nodeName': self.name,
            'role': 'node',
            'machineClass': 'edge',
            'serves': ['edge', 'control_plane', 'directory'],
            'ip': self.ip,
            'zone': self.zone,
            'region': 'si-central',
            'internalPorts': [self.peers, self.peers],
            'seeds': [node.control for node in rig.nodes[:3]],
            'bootstrap': True,
            'discovery': 'platform',
            'entry': 'directory',
            'heartbeatMs': 1200,
            'contracts': ['base', 'drain', 'config', 'cost', 'retry', 'recover',
                          'engine', 'stream', 'tenants', 'places', 'platform'],
            'zones': {zone: 'si-central' for zone in rig.zones},
            'listen': {
                'front': self.front,
                'ready': self.ready,
                'control': self.control,
                'directory': self.directory,
            },
            'limits': {'cpuShare': 0.537, 'cores': 2, 'memoryMb': 150,
                       'maxFds': 4100, 'linkMbps': 1000.0, 'diskMb': 0},
            'faultTolerance': {'machines': 2, 'zones': 1, 'regions': 0},
            'bounds': BOUNDS,
            'platform': {'address': rig.store.address, 'form': 'kv',
                         'writesPerS': 400, 'readsPerS': 2000, 'historyS': 20,
                         'valueBytes': 1048576, 'ttlMinMs': 1000},
        }
        path = rig.folder / f'{self.name}.toml'
        path.write_text(toml(settings), encoding='utf-8')
        with open(ROOT / 'deploy' / 'system.toml', 'rb') as file:
            command = tomllib.load(file)['roles']['node']['run'].split()
        environment = {
            name: os.environ[name]
            for name in ('PATH', 'HOME', 'LANG')
            if name in os.environ
        }
        environment['TURMERICYARD_BOOT'] = str(path)
        environment['PYTHONPATH'] = str(ROOT / 'target' / 'deps')
        log = open(rig.folder / f'{self.name}.log', 'ab')
        self.process = subprocess.Popen(
            command, cwd=ROOT, env=environment, stdin=subprocess.DEVNULL,
            stdout=log, stderr=log,
        )
        log.close()
        rig.record(f'node {self.name} starts')

    def signal(self, number):
        if self.process is not None and self.process.poll() is None:
            self.process.send_signal(number)

    def end(self):
        if self.process is not None:
            self.signal(signal.SIGCONT)
            self.signal(signal.SIGKILL)
            self.process.wait()

    async def until_ready(self, seconds=20):
        ends = time.monotonic() + seconds
        while time.monotonic() < ends:
            if self.process.poll() is not None:
                raise CannotRun(f'{self.name} ended with {self.process.returncode}')
            found = await ask(self.ready, 'GET', '/-/readiness', {'Host': HOST}, seconds=1)
            if found.status == 200:
                return
            await asyncio.sleep(0.05)
        raise CannotRun(f'{self.name} is not ready')


class CannotRun(Exception):
    """The case could not run."""


# -------------------------------------------------------------------- clients


class Answer:
    def __init__(self):
        self.status = 0
        self.headers = {}
        self.body = b''
        self.whole = False
        self.error = ''
        self.sent_at = now()
        self.ended_at = 0.0


async def ask(address, method, target, headers, body=b'', seconds=10.0):
    """Send one request on a new channel and read the answer to its end."""
    answer = Answer()
    ip, _, port = address.rpartition(':')
    writer = None
    try:
        async with asyncio.timeout(seconds):
            reader, writer = await asyncio.open_connection(ip, int(port))
            answer.sent_at = now()
            lines = [f'{method} {target} HTTP/1.1']
            lines += [f'{name}: {text}' for name, text in headers.items()]
            if body or method != 'GET':
                lines.append(f'Content-Length: {len(body)}')
            writer.write(('\r\n'.join(lines) + '\r\n\r\n').encode() + body)
            await read_answer(reader, answer)
    except (OSError, EOFError, ValueError, asyncio.IncompleteReadError) as error:
        answer.error = repr(error)
    except TimeoutError:
        answer.error = 'time limit'
    finally:
        answer.ended_at = now()
        if writer is not None:
            writer.close()
    return answer


async def read_answer(reader, answer):
    head = await reader.readuntil(b'\r\n\r\n')
    first, *rest = head[:-4].decode('latin-1').split('\r\n')
    answer.status = int(first.split(' ')[1])
    for line in rest:
        name, _, text = line.partition(':')
        answer.headers[name.strip().lower()] = text.strip()
    if answer.headers.get('transfer-encoding') == 'chunked':
        while True:
            size = int((await reader.readuntil(b'\r\n')).split(b';')[0], 16)
            piece = await reader.readexactly(size + 2)
            if not size:
                break
            answer.body += piece[:-2]
    else:
        size = int(answer.headers.get('content-length', 0))
        answer.body = await reader.readexactly(size)
    answer.whole = True


def new_id():
    return f'{random.getrandbits(64):016x}'


def client_headers(attempt, milliseconds, **more):
    return {
        'Host': HOST,
        'X-Turmericyard-Attempt-Id': attempt,
        'X-Turmericyard-Deadline-Ms': str(milliseconds),
        'Authorization': f'Bearer {KEY}',
        **{name.replace('_', '-'): text for name, text in more.items()},
    }


def stream_headers(attempt, milliseconds, prompt, output, parts):
    return {
        **client_headers(attempt, milliseconds),
        'X-Turmericyard-Model': 'm',
        'X-Turmericyard-Token-Count': f'{prompt},{output}',
        'X-Turmericyard-Prompt-Prefix': parts,
    }


# ------------------------------------------------------------------------ rig


class Rig:
    """One deployment; `zones` of the nodes and runners."""

    def __init__(self, folder, zones=('si-central-a', 'si-central-b')):
        self.record = Record(Path(folder) / 'record.txt')
        self.folder = Path(tempfile.mkdtemp(prefix='rig3-'))
        self.zones = zones
        self.net = f'127.{random.randrange(10, 250)}.{random.randrange(1, 250)}'
        self.nodes = []
        self.store = Store()
        self.sequence = 0

    def manifest(self, routes, services, version=7):
        return {
            'version': version,
            'routes': routes,
            'services': services,
            'limits': {'maxHeaderBytes': 16384, 'maxBodyBytes': 4194304,
                       'headerTimeoutMs': 3000, 'idleTimeoutMs': 15000},
            'tenants': [{'name': TENANT, 'apiKeys': [KEY], 'priority': 1}],
        }

    async def open(self, manifest, nodes):
        await self.store.open(f'{self.net}.1')
        self.store.put('op/config', manifest)
        for number in range(nodes):
            zone = self.zones[number % len(self.zones)]
            ip = f'{self.net}.{10 + number}'
            self.nodes.append(Node(self, f'edge-{zone}-{number + 1}', zone, ip))

    async def start_nodes(self):
        for node in self.nodes:
            node.start()
        for node in self.nodes:
            await node.until_ready()
        await asyncio.sleep(2)
        self.record('all nodes are ready')

    def close(self):
        for node in self.nodes:
            node.end()
        keep = os.environ.get('KEEP_LOGS')
        if keep:
            shutil.copytree(self.folder, keep, dirs_exist_ok=True)
        shutil.rmtree(self.folder, ignore_errors=True)


def route(name, prefix, kind, service, timeout, target, attempts=1, **more):
    return {
        'name': name, 'host': HOST, 'pathPrefix': prefix, 'kind': kind,
        'timeoutMs': timeout, 'targetLatencyMs': target, 'priority': 1,
        'service': service, 'attempts': attempts, 'anonymous': False,
        'sticky': kind == 'streaming', 'resumable': False, **more,
    }


def llm_service(name, slots=64, tokens=34631, **more):
    return {
        'name': name, 'healthCheck': '/health', 'maxConnections': 442,
        'protocol': 'h1', 'tls': False, 'coldStartS': 1.0, 'coldPerS': 30.0,
        'engine': {
            'slots': slots, 'kvCapacityTokens': tokens, 'kvTokenBytes': 18432,
            'linkMbps': 2700.0, 'moves': True, 'backups': True, 'stride': 4,
            'most': 12, 'pinMs': 4000.0, 'holdMs': 2000.0, 'handleS': 5.0,
            'models': [{'name': 'm'}], **more,
        },
    }


def plain_service(name):
    return {
        'name': name, 'healthCheck': '/health', 'maxConnections': 110,
        'protocol': 'h1', 'tls': False, 'coldStartS': 0.0, 'coldPerS': 0.0,
    }


def main(folder, scenario):
    """Run a scenario; end with 1 if it returns broken rules, 0 if none."""
    asyncio.run(run(Rig(folder), scenario))


def leave(rig):
    """End all processes when the script itself is told to end."""
    rig.close()
    os._exit(2)


async def run(rig, scenario):
    """Run a scenario, end all processes and leave with the exit code."""
    loop = asyncio.get_running_loop()
    loop.set_exception_handler(lambda *_: None)
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, leave, rig)
    code = 2
    try:
        broken = await scenario(rig)
        for line in broken:
            rig.record(f'BROKEN {line}')
        code = 1 if broken else 0
        rig.record(f'the rule {"was broken" if broken else "held"}')
    except (CannotRun, OSError, TimeoutError) as error:
        rig.record(f'could not run: {error!r}')
    finally:
        rig.close()
    os._exit(code)

"""The platform's metadata store, with the failures that it may show."""

import base64
import json
from collections.abc import Iterator
from dataclasses import dataclass, field
from itertools import count
from typing import Any

import curio
from msgspec.structs import replace

from turmericyard_http.messages import (
    OpaqueResponse,
    Request,
    Response,
    json_response,
)

POLL_SECONDS = 0.005
READ_ONLY = ('op/', 'servers/')


@dataclass
class Item:
    value: bytes
    revision: int
    created: int
    lease: int = 0


@dataclass
class Backup:
    """A copy of the store's content at one moment."""

    items: dict[str, Item]
    revision: int
    history: list[tuple[int, str, bytes | None]]
    leases: dict[int, int]


@dataclass
class FleetStore:
    """`mode` is empty, or how the store fails: busy, silent, reset or many.

    `lose_writes` carries out writes and gives no answer. `era` is the value of
    the header `Store-Era`, None for a store that sends none.
    """

    items: dict[str, Item] = field(default_factory=dict)
    revision: int = 10
    history: list[tuple[int, str, bytes | None]] = field(default_factory=list)
    kept_from: int = 0
    leases: dict[int, int] = field(default_factory=dict)
    lease_numbers: Iterator[int] = field(default_factory=lambda: count(1))
    mode: str = ''
    lose_writes: bool = False
    #: Watches hear nothing; their empty answers still name the revision.
    deaf: bool = False
    page_items: int = 500
    era: str | None = None
    calls: list[str] = field(default_factory=list)

    def put(self, key: str, value: Any, lease: int = 0) -> int:
        encoded = (
            value if isinstance(value, bytes) else json.dumps(value).encode()
        )
        self.revision += 1
        known = self.items.get(key)
        created = known.created if known else self.revision
        self.items[key] = Item(encoded, self.revision, created, lease)
        self.history.append((self.revision, key, encoded))
        return self.revision

    def drop(self, key: str) -> None:
        if self.items.pop(key, None) is not None:
            self.revision += 1
            self.history.append((self.revision, key, None))

    def back_up(self) -> Backup:
        return Backup(
            dict(self.items),
            self.revision,
            list(self.history),
            dict(self.leases),
        )

    def restore(self, backup: Backup) -> None:
        """Go on from a copy; its numbers of leases are given out again."""
        self.items = dict(backup.items)
        self.revision = backup.revision
        self.history = list(backup.history)
        self.leases = dict(backup.leases)
        self.lease_numbers = count(max(self.leases, default=0) + 1)
        self.era = str(int(self.era or 0) + 1)

    def compact(self) -> None:
        self.history.clear()
        self.kept_from = self.revision

    async def answer(self, request: Request) -> Response | OpaqueResponse:
        return await self.answer_in(self.mode, request)

    async def answer_in(
        self, mode: str, request: Request
    ) -> Response | OpaqueResponse:
        self.calls.append(f'{request.method} {request.path}')
        if mode == 'busy':
            return Response(503)
        if mode == 'many':
            return Response(429)
        if mode == 'silent':
            await curio.sleep(1000)
        if mode == 'reset':
            return OpaqueResponse(200, (), chunks=torn())
        answer = await self.carry_out(request)
        if self.era is not None:
            answer = replace(
                answer, headers={**answer.headers, 'store-era': self.era}
            )
        if self.lose_writes and request.path == '/-/kv-txn':
            await curio.sleep(1000)
        return answer

    async def carry_out(self, request: Request) -> Response:
        body = json.loads(request.body) if request.body else {}
        path = request.path
        if path == '/-/kv-key':
            return self.read(request.query['key'])
        if path == '/-/kv-range':
            return self.list(request.query)
        if path == '/-/kv-watch':
            return await self.watch(request.query)
        if path == '/-/kv-txn':
            return self.transact(body)
        if path == '/-/kv-lease':
            number = next(self.lease_numbers)
            self.leases[number] = body['ttlMs']
            return json_response(200, {'lease': number, 'ttlMs': body['ttlMs']})
        number = int(path.rpartition('/')[2])
        if number not in self.leases:
            return json_response(404, {})
        if path.startswith('/-/kv-lease-end/'):
            self.end_lease(number)
        return json_response(200, {'ttlMs': 1000})

    def end_lease(self, number: int) -> None:
        self.leases.pop(number)
        for key, item in tuple(self.items.items()):
            if item.lease == number:
                self.drop(key)

    def read(self, key: str) -> Response:
        if key not in self.items:
            return json_response(404, {'currentRev': self.revision})
        return json_response(
            200, {**self.shown(key), 'currentRev': self.revision}
        )

    def shown(self, key: str) -> dict[str, Any]:
        item = self.items[key]
        return {
            'key': key,
            'value': base64.b64encode(item.value).decode(),
            'revision': item.revision,
            'createRevision': item.created,
            'lease': item.lease,
        }

    def list(self, query: Any) -> Response:
        keys = sorted(
            key
            for key in self.items
            if key.startswith(query.get('pathPrefix', ''))
            and key > query.get('after', '')
        )
        page = keys[: self.page_items]
        return json_response(
            200,
            {
                'items': [self.shown(key) for key in page],
                'morePages': len(keys) > len(page),
                'currentRev': self.revision,
            },
        )

    async def watch(self, query: Any) -> Response:
        after = int(query['after'])
        left = int(query['waitMs']) / 1000
        while True:
            if after < self.kept_from or after > self.revision:
                return json_response(410, {})
            events = [
                self.event(revision, key, value)
                for revision, key, value in self.history
                if revision > after
                and key.startswith(query.get('pathPrefix', ''))
                and not self.deaf
            ]
            if events or left <= 0:
                return json_response(
                    200, {'events': events, 'currentRev': self.revision}
                )
            await curio.sleep(POLL_SECONDS)
            left -= POLL_SECONDS

    def event(
        self, revision: int, key: str, value: bytes | None
    ) -> dict[str, Any]:
        if value is None:
            return {'key': key, 'revision': revision, 'tombstone': True}
        return {
            'key': key,
            'value': base64.b64encode(value).decode(),
            'revision': revision,
            'createRevision': revision,
            'lease': 0,
        }

    def transact(self, body: dict[str, Any]) -> Response:
        for row in body.get('precondition', ()):
            item = self.items.get(row['key'])
            if (item.revision if item else 0) != row['revision']:
                shown = [self.shown(row['key'])] if item else []
                return json_response(412, {'items': shown})
        for write in body.get('writes', ()):
            lease = write.get('lease', 0)
            if lease and lease not in self.leases:
                return json_response(404, {})
            self.put(write['key'], base64.b64decode(write['value']), lease)
        for key in body.get('remove', ()):
            self.drop(key)
        return json_response(200, {'revision': self.revision})


async def torn() -> Any:
    """Break the connection off."""
    raise ConnectionAbortedError
    yield b''

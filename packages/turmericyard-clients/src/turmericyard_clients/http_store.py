"""The platform store over HTTP."""

import base64
from collections.abc import Mapping
from dataclasses import dataclass
from typing import Any
from urllib.parse import quote

from returns.result import Failure, Result, Success

from turmericyard_clients.store import (
    Change,
    Entry,
    Snapshot,
    Store,
    StoreAnswerLost,
    StoreConflict,
    StoreError,
    StoreRefused,
    StoreUnavailable,
    WatchBatch,
    WatchCompacted,
)
from turmericyard_http.client import HttpClient
from turmericyard_http.errors import HttpError, NotSent
from turmericyard_http.messages import Response, quote_segment

OK = 200
NOT_FOUND = 404
GONE = 410
PRECONDITION_FAILED = 412
PAYLOAD_TOO_LARGE = 413
TOO_MANY_REQUESTS = 429
UNAVAILABLE = 503
DEFAULT_TIMEOUT_SECONDS = 2
DEFAULT_RETRY_SECONDS = 1


@dataclass(slots=True)
class HttpStore:
    """Implements `Store`; `timeout_seconds` bounds each call.

    A watch may take its waiting time on top.
    """

    client: HttpClient
    timeout_seconds: float

    async def read(self, key: str) -> Result[Entry | None, StoreError]:
        """Return the entry, or None when the key does not exist."""
        answer = await self.call('GET', key_target(key))
        return answer.bind(lambda response: decode_entry(key, response))

    async def write(
        self,
        key: str,
        value: bytes,
        *,
        expected: int | None,
        lease: str | None = None,
    ) -> Result[int, StoreError]:
        """Write when the key is at revision `expected`."""
        headers = condition_headers(expected)
        if lease is not None:
            headers['x-lease'] = lease
        answer = await self.call('PUT', key_target(key), headers, value)
        return answer.bind(decode_revision)

    async def delete(
        self, key: str, *, expected: int | None
    ) -> Result[int, StoreError]:
        """Delete the key under the same condition as `write`."""
        headers = condition_headers(expected)
        answer = await self.call('DELETE', key_target(key), headers)
        return answer.bind(decode_revision)

    async def list_prefix(self, prefix: str) -> Result[Snapshot, StoreError]:
        """Return all entries whose keys start with the prefix."""
        target = f'/v1/list?prefix={quote(prefix, safe="")}'
        answer = await self.call('GET', target)
        return answer.bind(decode_snapshot)

    async def watch(
        self, prefix: str, *, after: int, wait_seconds: float
    ) -> Result[WatchBatch, StoreError]:
        """Return the changes after a revision, waiting for the first one."""
        target = (
            f'/v1/watch?prefix={quote(prefix, safe="")}'
            f'&after={after}&wait={wait_seconds}'
        )
        answer = await self.call('GET', target, extra_seconds=wait_seconds)
        return answer.bind(decode_watch)

    async def grant_lease(self, ttl_seconds: float) -> Result[str, StoreError]:
        """Return the id of a new lease."""
        body = b'{"ttl": %r}' % float(ttl_seconds)
        answer = await self.call('POST', '/v1/leases', body=body)
        return answer.bind(decode_lease)

    async def renew_lease(self, lease: str) -> Result[None, StoreError]:
        """Extend the lease by its time to live; refused once lapsed."""
        target = f'/v1/leases/{quote_segment(lease)}/renew'
        answer = await self.call('POST', target)
        return answer.bind(decode_nothing)

    async def revoke_lease(self, lease: str) -> Result[None, StoreError]:
        """End the lease and remove its keys."""
        target = f'/v1/leases/{quote_segment(lease)}'
        answer = await self.call('DELETE', target)
        return answer.bind(decode_nothing)

    async def call(
        self,
        method: str,
        target: str,
        headers: Mapping[str, str] | None = None,
        body: bytes = b'',
        *,
        extra_seconds: float = 0,
    ) -> Result[Response, StoreError]:
        """Return the response, or why there is none to decode."""
        answer = await self.client.request(
            method,
            target,
            headers=dict(headers or {}),
            body=body,
            timeout_seconds=self.timeout_seconds + extra_seconds,
        )
        checked: Result[Response, StoreError] = answer.alt(store_error)
        return checked.bind(refuse_unavailable)


def open_http_store(
    address: str, *, timeout_seconds: float = DEFAULT_TIMEOUT_SECONDS
) -> Store:
    """Return a store client; nothing is sent before the first call."""
    return HttpStore(HttpClient(address), timeout_seconds)


def key_target(key: str) -> str:
    """Return the request target of a key."""
    return f'/v1/kv/{quote_segment(key)}'


def condition_headers(expected: int | None) -> dict[str, str]:
    """Return the headers of a compare-and-swap."""
    if expected is None:
        return {}
    return {'x-if-revision': str(expected)}


def store_error(error: HttpError) -> StoreError:
    """Return the store's error for a failed exchange."""
    if isinstance(error, NotSent):
        return StoreUnavailable(error.message)
    return StoreAnswerLost(error.message)


def refuse_unavailable(response: Response) -> Result[Response, StoreError]:
    """Turn the refusals that any call may get into an error."""
    if response.status not in {TOO_MANY_REQUESTS, UNAVAILABLE}:
        return Success(response)
    return Failure(
        StoreUnavailable(
            f'status {response.status}', retry_after_seconds(response)
        )
    )


def retry_after_seconds(response: Response) -> float:
    """Return the time after which the store asks to be called again."""
    try:
        return float(response.headers.get('retry-after', ''))
    except ValueError:
        return DEFAULT_RETRY_SECONDS


def refused(response: Response) -> Result[Any, StoreError]:
    """Return the error of a status that says nothing was done."""
    if response.status == PRECONDITION_FAILED:
        return Failure(StoreConflict(decode_number(response, 'revision')))
    if response.status == GONE:
        return Failure(WatchCompacted(decode_number(response, 'oldest')))
    return Failure(StoreRefused(refusal_detail(response)))


def refusal_detail(response: Response) -> str:
    """Return the reason of a refusal in words."""
    if response.status == PAYLOAD_TOO_LARGE:
        return 'value too large'
    if response.status == NOT_FOUND:
        return 'lease unknown or lapsed'
    return f'status {response.status}'


def decode_number(response: Response, name: str) -> int:
    """Return a number of the body; 0 when there is none."""
    try:
        return int(response.json()[name])
    except (ValueError, KeyError, TypeError):
        return 0


def decode_entry(
    key: str, response: Response
) -> Result[Entry | None, StoreError]:
    """Decode the answer to a read."""
    if response.status == NOT_FOUND:
        return Success(None)
    if response.status != OK:
        return refused(response)
    try:
        revision = int(response.headers['x-revision'])
    except (KeyError, ValueError):
        return malformed()
    return Success(Entry(key, response.body, revision))


def decode_revision(response: Response) -> Result[int, StoreError]:
    """Decode the answer to a write or a delete."""
    if response.status != OK:
        return refused(response)
    try:
        return Success(int(response.json()['revision']))
    except (ValueError, KeyError, TypeError):
        return malformed()


def decode_snapshot(response: Response) -> Result[Snapshot, StoreError]:
    """Decode the answer to a list."""
    if response.status != OK:
        return refused(response)
    try:
        payload = response.json()
        entries = tuple(entry_of(row) for row in payload['entries'])
        return Success(Snapshot(int(payload['revision']), entries))
    except (ValueError, KeyError, TypeError):
        return malformed()


def entry_of(row: Mapping[str, Any]) -> Entry:
    """Return one listed entry."""
    value = base64.b64decode(row['value'])
    return Entry(str(row['key']), value, int(row['revision']))


def decode_watch(response: Response) -> Result[WatchBatch, StoreError]:
    """Decode the answer to a watch."""
    if response.status != OK:
        return refused(response)
    try:
        payload = response.json()
        changes = tuple(change_of(row) for row in payload['changes'])
        return Success(WatchBatch(int(payload['revision']), changes))
    except (ValueError, KeyError, TypeError):
        return malformed()


def change_of(row: Mapping[str, Any]) -> Change:
    """Return one watched change."""
    encoded = row['value']
    value = None if encoded is None else base64.b64decode(encoded)
    return Change(str(row['key']), value, int(row['revision']))


def decode_lease(response: Response) -> Result[str, StoreError]:
    """Decode the answer to a grant."""
    if response.status != OK:
        return refused(response)
    try:
        return Success(str(response.json()['lease']))
    except (ValueError, KeyError, TypeError):
        return malformed()


def decode_nothing(response: Response) -> Result[None, StoreError]:
    """Decode an answer that carries nothing."""
    if response.status != OK:
        return refused(response)
    return Success(None)


def malformed() -> Result[Any, StoreError]:
    """Return the error of an answer that cannot be decoded."""
    return Failure(StoreAnswerLost('malformed answer'))

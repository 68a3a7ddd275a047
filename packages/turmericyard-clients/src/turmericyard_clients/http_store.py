"""Client of the platform's store over HTTP."""

import base64
from collections.abc import Mapping
from dataclasses import dataclass, field
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
from turmericyard_clients.store_eras import StoreEras
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
    """Implements `Store`; `timeout_seconds` limits each call.

    The waiting time of a watch is added to its limit.
    """

    client: HttpClient
    timeout_seconds: float
    #: This store names no era.
    eras: StoreEras = field(default_factory=StoreEras)

    async def read(self, key: str) -> Result[Entry | None, StoreError]:
        """Return the entry, or None when the key does not exist."""
        result = await self.call('GET', key_path(key))
        return result.bind(lambda response: decode_entry(key, response))

    async def write(
        self,
        key: str,
        value: bytes,
        *,
        expected: int | None,
        lease: str | None = None,
    ) -> Result[int, StoreError]:
        """Write if the key is at revision `expected`; return the new revision."""
        headers = condition_headers(expected)
        if lease is not None:
            headers['x-lease'] = lease
        result = await self.call('PUT', key_path(key), headers, value)
        return result.bind(decode_revision)

    async def delete(
        self, key: str, *, expected: int | None
    ) -> Result[int, StoreError]:
        """Delete the key under the same condition as `write`."""
        headers = condition_headers(expected)
        result = await self.call('DELETE', key_path(key), headers)
        return result.bind(decode_revision)

    async def list_prefix(self, prefix: str) -> Result[Snapshot, StoreError]:
        """Return all entries whose keys start with the prefix."""
        target = f'/v1/list?prefix={quote(prefix, safe="")}'
        result = await self.call('GET', target)
        return result.bind(decode_snapshot)

    async def watch(
        self, prefix: str, *, after: int, wait_seconds: float
    ) -> Result[WatchBatch, StoreError]:
        """Return the changes after a revision, waiting for the first one."""
        target = (
            f'/v1/watch?prefix={quote(prefix, safe="")}'
            f'&after={after}&wait={wait_seconds}'
        )
        result = await self.call('GET', target, extra_seconds=wait_seconds)
        return result.bind(decode_watch)

    async def grant_lease(self, ttl_seconds: float) -> Result[str, StoreError]:
        """Return the id of a new lease."""
        body = b'{"ttl": %r}' % float(ttl_seconds)
        result = await self.call('POST', '/v1/leases', body=body)
        return result.bind(decode_lease)

    async def renew_lease(self, lease: str) -> Result[None, StoreError]:
        """Extend the lease by its time to live; fails once it has expired."""
        target = f'/v1/leases/{quote_segment(lease)}/renew'
        result = await self.call('POST', target)
        return result.bind(decode_empty)

    async def revoke_lease(self, lease: str) -> Result[None, StoreError]:
        """End the lease and remove its keys."""
        target = f'/v1/leases/{quote_segment(lease)}'
        result = await self.call('DELETE', target)
        return result.bind(decode_empty)

    async def call(
        self,
        method: str,
        target: str,
        headers: Mapping[str, str] | None = None,
        body: bytes = b'',
        *,
        extra_seconds: float = 0,
    ) -> Result[Response, StoreError]:
        """Send a request; return the response, or an error if unavailable."""
        result = await self.client.request(
            method,
            target,
            headers=dict(headers or {}),
            body=body,
            timeout_seconds=self.timeout_seconds + extra_seconds,
        )
        checked: Result[Response, StoreError] = result.alt(store_error)
        return checked.bind(check_available)


def open_http_store(
    address: str, *, timeout_seconds: float = DEFAULT_TIMEOUT_SECONDS
) -> Store:
    """Return a store client; nothing is sent before the first call."""
    return HttpStore(HttpClient(address), timeout_seconds)


def key_path(key: str) -> str:
    """Return the path of a key."""
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


def check_available(response: Response) -> Result[Response, StoreError]:
    """Return an error for a status that any call may get (429, 503)."""
    if response.status not in {TOO_MANY_REQUESTS, UNAVAILABLE}:
        return Success(response)
    return Failure(
        StoreUnavailable(
            f'status {response.status}', retry_after_seconds(response)
        )
    )


def retry_after_seconds(response: Response) -> float:
    """Return the seconds to wait according to the `Retry-After` header."""
    try:
        return float(response.headers.get('retry-after', ''))
    except ValueError:
        return DEFAULT_RETRY_SECONDS


def status_failure(response: Response) -> Result[Any, StoreError]:
    """Return the error for a status that says that nothing was changed."""
    if response.status == PRECONDITION_FAILED:
        return Failure(StoreConflict(number_field(response, 'revision')))
    if response.status == GONE:
        return Failure(WatchCompacted(number_field(response, 'oldest')))
    return Failure(StoreRefused(rejection_detail(response)))


def rejection_detail(response: Response) -> str:
    """Return the reason of a rejection in words."""
    if response.status == PAYLOAD_TOO_LARGE:
        return 'value too large'
    if response.status == NOT_FOUND:
        return 'lease unknown or expired'
    return f'status {response.status}'


def number_field(response: Response, name: str) -> int:
    """Return a number from the body; 0 when it is absent."""
    try:
        return int(response.json()[name])
    except (ValueError, KeyError, TypeError):
        return 0


def decode_entry(
    key: str, response: Response
) -> Result[Entry | None, StoreError]:
    """Decode the response to a read."""
    if response.status == NOT_FOUND:
        return Success(None)
    if response.status != OK:
        return status_failure(response)
    try:
        revision = int(response.headers['x-revision'])
    except (KeyError, ValueError):
        return malformed()
    return Success(Entry(key, response.body, revision))


def decode_revision(response: Response) -> Result[int, StoreError]:
    """Decode the response to a write or a delete."""
    if response.status != OK:
        return status_failure(response)
    try:
        return Success(int(response.json()['revision']))
    except (ValueError, KeyError, TypeError):
        return malformed()


def decode_snapshot(response: Response) -> Result[Snapshot, StoreError]:
    """Decode the response to a list."""
    if response.status != OK:
        return status_failure(response)
    try:
        payload = response.json()
        entries = tuple(decode_listed_entry(row) for row in payload['entries'])
        return Success(Snapshot(int(payload['revision']), entries))
    except (ValueError, KeyError, TypeError):
        return malformed()


def decode_listed_entry(row: Mapping[str, Any]) -> Entry:
    """Decode one listed entry."""
    value = base64.b64decode(row['value'])
    return Entry(str(row['key']), value, int(row['revision']))


def decode_watch(response: Response) -> Result[WatchBatch, StoreError]:
    """Decode the response to a watch."""
    if response.status != OK:
        return status_failure(response)
    try:
        payload = response.json()
        changes = tuple(decode_change(row) for row in payload['changes'])
        return Success(WatchBatch(int(payload['revision']), changes))
    except (ValueError, KeyError, TypeError):
        return malformed()


def decode_change(row: Mapping[str, Any]) -> Change:
    """Decode one change of a watch."""
    encoded = row['value']
    value = None if encoded is None else base64.b64decode(encoded)
    return Change(str(row['key']), value, int(row['revision']))


def decode_lease(response: Response) -> Result[str, StoreError]:
    """Decode the response to the grant of a lease."""
    if response.status != OK:
        return status_failure(response)
    try:
        return Success(str(response.json()['lease']))
    except (ValueError, KeyError, TypeError):
        return malformed()


def decode_empty(response: Response) -> Result[None, StoreError]:
    """Check a response without a result."""
    if response.status != OK:
        return status_failure(response)
    return Success(None)


def malformed() -> Result[Any, StoreError]:
    """Return the error for a response that cannot be decoded."""
    return Failure(StoreAnswerLost('malformed response'))

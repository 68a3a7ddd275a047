"""HTTP answers of the platform store: its data and its errors."""

import base64
from functools import singledispatch
from typing import Any

from returns.pipeline import is_successful
from returns.result import Result

from turmericyard_bench.standins.process import (
    NOT_FOUND,
    OK,
    UNAVAILABLE,
    error_response,
)
from turmericyard_bench.standins.store_state import StoreState
from turmericyard_clients.store import (
    Change,
    Snapshot,
    StoreConflict,
    StoreError,
    StoreRefused,
    WatchBatch,
    WatchCompacted,
)
from turmericyard_http.messages import Request, Response, json_response

GONE = 410
PRECONDITION_FAILED = 412
PAYLOAD_TOO_LARGE = 413


def dispatch(state: StoreState, request: Request, now: float) -> Response:
    """Execute one request on the data and return its answer."""
    path = request.path
    if path == '/v1/list':
        return snapshot_response(
            state.list_prefix(request.query.get('prefix', ''))
        )
    if path.startswith('/v1/kv/'):
        return answer_key(state, request, path.removeprefix('/v1/kv/'))
    if path.startswith('/v1/leases'):
        parts = path.split('/')[3:]
        return answer_lease(state, request, parts, now)
    return error_response(NOT_FOUND, 'unknown path')


def answer_key(state: StoreState, request: Request, key: str) -> Response:
    """Execute a call on one key and return its answer."""
    condition = request.headers.get('x-if-revision')
    expected = None if condition is None else int(condition)
    if request.method == 'PUT':
        lease = request.headers.get('x-lease')
        return result_response(
            state.write(key, request.body, expected=expected, lease=lease)
        )
    if request.method == 'DELETE':
        return result_response(state.delete(key, expected=expected))
    entry = state.read(key)
    if entry is None:
        return error_response(NOT_FOUND, 'key')
    return Response(OK, {'x-revision': str(entry.revision)}, entry.value)


def answer_lease(
    state: StoreState, request: Request, parts: list[str], now: float
) -> Response:
    """Execute a call on leases; `parts` is the path after `/v1/leases`."""
    if not parts:
        ttl = float(Response(OK, body=request.body).json()['ttl'])
        return json_response(OK, {'lease': state.grant_lease(ttl, now)})
    if request.method == 'DELETE':
        state.revoke_lease(parts[0])
        return json_response(OK, {})
    if state.renew_lease(parts[0], now):
        return json_response(OK, {})
    return error_response(NOT_FOUND, 'lease')


def result_response(result: Result[Any, StoreError]) -> Response:
    """Return the answer for a result."""
    if is_successful(result):
        return success_response(result.unwrap())
    return failure_response(result.failure())


@singledispatch
def success_response(done: Any) -> Response:
    """Return the answer to a call that succeeded."""
    return json_response(OK, {'revision': done})


@success_response.register
def watch_batch_response(done: WatchBatch) -> Response:
    """Return the answer to a watch."""
    changes = [change_row(change) for change in done.changes]
    return json_response(OK, {'revision': done.revision, 'changes': changes})


@singledispatch
def failure_response(error: Any) -> Response:
    """Return the answer to a call that was refused."""
    return error_response(UNAVAILABLE, str(error))


@failure_response.register
def conflict_response(error: StoreConflict) -> Response:
    """Return the answer to a compare-and-swap that conflicted."""
    return json_response(PRECONDITION_FAILED, {'revision': error.current})


@failure_response.register
def refused_response(error: StoreRefused) -> Response:
    """Return the answer to a request that the store refused."""
    if error.detail == 'lease':
        return error_response(NOT_FOUND, 'lease')
    return error_response(PAYLOAD_TOO_LARGE, error.detail)


@failure_response.register
def compacted_response(error: WatchCompacted) -> Response:
    """Return the answer to a watch from a compacted revision."""
    return json_response(GONE, {'oldest': error.oldest})


def snapshot_response(snapshot: Snapshot) -> Response:
    """Return the answer to a list."""
    entries = [
        {
            'key': entry.key,
            'revision': entry.revision,
            'value': encode(entry.value),
        }
        for entry in snapshot.entries
    ]
    return json_response(
        OK, {'revision': snapshot.revision, 'entries': entries}
    )


def change_row(change: Change) -> dict[str, Any]:
    """Return one change as JSON values."""
    return {
        'key': change.key,
        'revision': change.revision,
        'value': None if change.value is None else encode(change.value),
    }


def encode(raw: bytes) -> str:
    """Return bytes in base64."""
    return base64.b64encode(raw).decode('ascii')

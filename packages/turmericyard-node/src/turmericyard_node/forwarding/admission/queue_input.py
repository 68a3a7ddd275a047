"""Checks requests for the queue of a hub and reads them."""

from turmericyard_decisions.admission_queue import QueuedRequest
from turmericyard_protocol.fleet_messages import PlaceRequest

MILLISECONDS = 1000
#: Longest time that a request may wait, in milliseconds, against absurd values.
MAX_HOLD_MS = 60_000


def invalid_reason(message: PlaceRequest) -> str:
    """Return why a request cannot be queued, '' for a valid one."""
    numbers = {
        'prompt_tokens': message.prompt_tokens,
        'tokens': message.tokens,
        'wait_ms': message.wait_ms,
        'waited_ms': message.waited_ms,
        'hold_ms': message.hold_ms,
    }
    for name, number in numbers.items():
        if number < 0:
            return f'{name} is {number}: check the version of the node'
    if min(message.priority) < 0:
        return f'priority is {message.priority}: it must not be negative'
    if not message.attempt:
        return 'attempt is missing: check the version of the node'
    return ''


def read_request(
    message: PlaceRequest, node: str, now: float, *, returned: bool
) -> QueuedRequest:
    """Return a valid request as the queue holds it."""
    hold_ms = min(max(message.wait_ms, message.hold_ms), MAX_HOLD_MS)
    on_time_ms = min(message.wait_ms, hold_ms)
    return QueuedRequest(
        node,
        message.attempt,
        message.workspace,
        message.route,
        message.priority,
        max(1, message.tokens),
        now + on_time_ms / MILLISECONDS,
        now + hold_ms / MILLISECONDS,
        returned,
    )

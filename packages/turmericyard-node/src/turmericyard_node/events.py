"""Numbered log events; docs/EVENTS.md has the catalogue."""

from enum import Enum
from typing import Any

from eliot import log_message


class Event(Enum):
    """Number and message type of each log event."""

    NODE_STARTED = (100, 'node:started')
    NODE_DRAINING = (101, 'node:draining')
    NODE_STOPPED = (102, 'node:stopped')
    NODE_RELOADED = (105, 'node:reloaded')
    LOGS_DROPPED = (106, 'logs:dropped')
    LOOP_STALLED = (107, 'loop:stalled')
    METRICS_CLOSED = (108, 'metrics:closed')
    NODE_CUT_OFF = (109, 'node:cut-off')
    NODE_RECONNECTED = (110, 'node:reconnected')
    NODE_ISOLATED = (103, 'node:isolated')
    NODE_REJOINED = (104, 'node:rejoined')
    CLIENTS_BOUNDED = (120, 'clients:bounded')
    CONFIGURATION_ACCEPTED = (200, 'configuration:accepted')
    CONFIGURATION_REFUSED = (201, 'configuration:refused')
    STORE_UNAVAILABLE = (210, 'store:unavailable')
    STORE_AVAILABLE = (211, 'store:available')
    STORE_OUTDATED = (212, 'store:outdated')
    STORE_RESTORED = (213, 'store:restored')
    STORE_ERA_INVALID = (214, 'store:era-invalid')
    PEER_REFUSED = (300, 'peer:refused')
    PEER_MALFORMED = (301, 'peer:malformed')
    PEER_LOST = (302, 'peer:lost')
    PEER_HEARD = (303, 'peer:heard')
    PEER_ENDED = (304, 'peer:ended')
    ZONE_CLOSED = (220, 'zone:closed')
    ZONE_OPENED = (221, 'zone:opened')
    REQUEST_ANSWERED = (400, 'request:answered')
    REQUEST_RETRIED = (401, 'request:retried')
    REQUEST_SENT = (402, 'request:sent')
    REQUEST_PLACED = (403, 'request:placed')
    REQUEST_NOT_PLACED = (404, 'request:not-placed')
    REQUEST_QUEUED = (405, 'request:queued')
    REQUEST_OFFERED = (406, 'request:offered')
    REQUEST_REJECTED = (407, 'request:rejected')
    PLACE_RETURNED = (408, 'place:returned')
    QUEUE_INPUT_INVALID = (409, 'queue:input-invalid')
    STREAM_REPLACED = (410, 'stream:replaced')
    STREAM_FAILED = (411, 'stream:failed')
    GENERATION_CANCELLED = (412, 'generation:cancelled')
    STREAM_CONTINUED = (413, 'stream:continued')
    STREAM_ENDED = (414, 'stream:ended')
    RUN_COPIED = (415, 'run:copied')
    RUN_NOT_COPIED = (416, 'run:not-copied')
    COPY_NOT_FREED = (417, 'copy:not-freed')
    REQUEST_HEDGED = (421, 'request:hedged')
    HEDGE_ENDED = (422, 'hedge:ended')
    REQUEST_NOT_HEDGED = (423, 'request:not-hedged')
    ENDPOINT_COLD = (500, 'endpoint:cold')
    ENDPOINT_DIED = (501, 'endpoint:died')
    REQUEST_QUARANTINED = (502, 'request:quarantined')
    ENDPOINT_FOUND = (503, 'endpoint:found')
    ENDPOINT_LEAVING = (504, 'endpoint:leaving')
    ENDPOINT_UNREADABLE = (505, 'endpoint:unreadable')
    ENDPOINTS_ASIDE = (506, 'endpoints:aside')
    ENDPOINT_RESTS = (507, 'endpoint:rests')
    ENDPOINT_LIMITED = (508, 'endpoint:limited')
    PATH_BLOCKED = (509, 'path:blocked')
    ENDPOINT_PACED = (520, 'endpoint:paced')
    PACE_REFUSED = (521, 'endpoint:pace-refused')
    ORDER_GIVEN = (600, 'order:given')
    ROLLOUT_ORDERED = (610, 'rollout:ordered')
    ROLLOUT_INVALID = (611, 'rollout:invalid')
    ROLLOUT_STAGE = (612, 'rollout:stage')
    ROLLOUT_WITHDRAWN = (613, 'rollout:withdrawn')
    ROLLOUT_STOPPED = (614, 'rollout:stopped')
    ROLLOUT_NOT_WRITTEN = (615, 'rollout:not-written')
    HANDLER_FAILED = (900, 'handler:failed')


def log_event(event: Event, **fields: Any) -> None:
    """Write one event with its number and fields."""
    number, name = event.value
    log_message(message_type=name, event=number, **fields)

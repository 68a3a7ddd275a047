"""Counts the outcome of a relayed generation and releases its permit."""

from typing import TYPE_CHECKING

from turmericyard_clients.engine_events import Done
from turmericyard_node.callers.answers import Outcome
from turmericyard_node.endpoint_deaths import clear_strikes
from turmericyard_protocol.messages import PermitRelease

if TYPE_CHECKING:
    from turmericyard_node.callers.relay import Relay


async def settle_relay(relay: 'Relay') -> None:
    """Release the permit and count the outcome; later calls do nothing."""
    if relay.settled:
        return
    relay.settled = True
    application = relay.application
    point = relay.point
    if relay.queue_entry is not None:
        application.dispatcher.queue.correct_charge(
            relay.queue_entry, relay.prompt_tokens + relay.next_offset
        )
    done = isinstance(relay.ending, Done)
    outcome = Outcome.DONE if done else Outcome.FAILED
    application.count(point.product, outcome)
    application.traces.add(
        point.request,
        'ended',
        outcome=outcome.value,
        tokens=relay.next_offset,
    )
    if done:
        application.policy.retries.observe_success(point.workspace)
        await clear_strikes(application, relay.marks)
    await application.permits.release(
        PermitRelease(
            point.endpoint,
            point.generation,
            point.product,
            point.workspace,
            done,
            relay.next_offset,
            relay.first_token_seconds,
            certain=done,
        )
    )

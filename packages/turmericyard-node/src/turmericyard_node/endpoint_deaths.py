"""Deaths of endpoints, and the refusal of requests that cause them.

Each request that ran on an endpoint that died gets a strike. A request with
too many strikes is refused.
"""

from collections.abc import Iterable
from typing import TYPE_CHECKING

from turmericyard_decisions.quarantine import EndpointDeath, Verdict
from turmericyard_node.endpoint_state import EndpointState
from turmericyard_node.events import Event, log_event
from turmericyard_node.peers.dispatch import handle_message
from turmericyard_node.work import Work
from turmericyard_protocol.messages import (
    ClearanceNotice,
    DeathNotice,
    RefusalNotice,
)

if TYPE_CHECKING:
    from turmericyard_node.application import Application

Marks = frozenset[str]


async def declare_death(
    application: 'Application', state: EndpointState
) -> None:
    """Record a strike for each request that ran on an owned, dead endpoint.

    An endpoint that this node never reached has no known restart id. Its death
    is recorded only when something ran there. Peers that reached the endpoint
    record its death under the restart id. Recorded without one as well, it
    would count as a second death, and the two would look like deaths by a
    common cause.
    """
    application.candidates.prefixes.forget(state.name)
    in_flight = state.take_in_flight()
    if not state.restart and not in_flight:
        return
    await record_death(application, state.name, state.restart, in_flight)


async def record_lost_generation(
    application: 'Application', endpoint: str, restart: str, marks: Marks
) -> None:
    """Record a strike for a request whose generation was lost by a crash.

    Nothing is recorded when the engine still has the given restart id. This is
    called before the request runs again, so that a request that crashes
    engines does not reach the next one before its strike is known.
    """
    row = application.configuration.current.endpoints.get(endpoint)
    if row is None or not marks:
        return
    reported = await application.clients.engine(row.address).load()
    alive = reported.map(lambda load: load.restart == restart).value_or(False)
    if alive:
        return
    await record_death(application, endpoint, restart, (marks,))


async def record_death(
    application: 'Application',
    endpoint: str,
    restart: str,
    in_flight: Iterable[Marks],
) -> None:
    """Record a death on this node and on all peers."""
    death = EndpointDeath(f'{endpoint}:{restart}', frozenset(in_flight))
    now = application.clock()
    if not application.policy.quarantine.observe_death(death, now):
        return
    log_event(
        Event.ENDPOINT_DIED,
        endpoint=endpoint,
        restart=restart,
        running=len(death.in_flight),
    )
    await application.broadcast(to_notice(death))


def to_notice(death: EndpointDeath) -> DeathNotice:
    """Return the notice of a death for peers."""
    in_flight = tuple(tuple(sorted(marks)) for marks in death.in_flight)
    return DeathNotice(death.identity, in_flight)


def from_notice(notice: DeathNotice) -> EndpointDeath:
    """Return the death in a peer's notice."""
    in_flight = frozenset(frozenset(marks) for marks in notice.in_flight)
    return EndpointDeath(notice.identity, in_flight)


async def refuse_if_quarantined(application: 'Application', work: Work) -> bool:
    """Return whether the work may not run; notify peers of a new refusal.

    Peers may know fewer of the deaths, or attribute them to other requests.
    """
    if application.quarantine_verdict(work) is not Verdict.REFUSED:
        return False
    log_event(Event.REQUEST_QUARANTINED, request=work.request)
    deaths = application.policy.quarantine.observe_refusal(work.marks)
    if deaths:
        notices = tuple(to_notice(death) for death in deaths)
        await application.broadcast(
            RefusalNotice(tuple(sorted(work.marks)), notices)
        )
    return True


async def clear_strikes(application: 'Application', marks: Marks) -> None:
    """Clear a completed request's strikes on this node and on all peers."""
    cleared = application.policy.quarantine.observe_completion(marks)
    if cleared:
        await application.broadcast(ClearanceNotice(tuple(sorted(cleared))))


@handle_message.register(DeathNotice)
async def answer_death(
    message: DeathNotice, sender: str, application: 'Application'
) -> None:
    """Merge a death that a peer recorded."""
    application.policy.quarantine.merge(
        (from_notice(message),), (), application.clock()
    )


@handle_message.register(ClearanceNotice)
async def answer_clearance(
    message: ClearanceNotice, sender: str, application: 'Application'
) -> None:
    """Merge the cleared strikes of a peer."""
    application.policy.quarantine.merge((), message.pairs, application.clock())


@handle_message.register(RefusalNotice)
async def answer_refusal(
    message: RefusalNotice, sender: str, application: 'Application'
) -> None:
    """Refuse a request that a peer refuses."""
    application.policy.quarantine.merge_refusal(
        frozenset(message.marks),
        map(from_notice, message.deaths),
        application.clock(),
    )

"""Deaths of endpoints: strikes against the requests that they ran, refusals."""

from collections.abc import Iterable
from typing import TYPE_CHECKING

from turmericyard_decisions.quarantine import Death, Verdict
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
    """Strike each request that ran on an owned endpoint that died.

    An endpoint that this node never reached has no known restart id. Its death
    says nothing unless something ran there, and peers that saw it know it by
    its id: counted as another one, it would look like a common cause.
    """
    application.candidates.prefixes.forget(state.name)
    in_flight = state.take_in_flight()
    if not state.restart and not in_flight:
        return
    await strike(application, state.name, state.restart, in_flight)


async def report_lost(
    application: 'Application', endpoint: str, restart: str, marks: Marks
) -> None:
    """Strike a request whose generation was lost, if its engine died.

    Done before the request runs again, so that one that crashes engines does
    not reach the next before its strike is known.
    """
    row = application.configuration.current.endpoints.get(endpoint)
    if row is None or not marks:
        return
    reported = await application.clients.engine(row.address).load()
    lives = reported.map(lambda load: load.restart == restart).value_or(False)
    if lives:
        return
    await strike(application, endpoint, restart, (marks,))


async def strike(
    application: 'Application',
    endpoint: str,
    restart: str,
    in_flight: Iterable[Marks],
) -> None:
    """Record a death here and on all peers."""
    death = Death(f'{endpoint}:{restart}', frozenset(in_flight))
    now = application.clock()
    if not application.policy.quarantine.observe_death(death, now):
        return
    log_event(
        Event.ENDPOINT_DIED,
        endpoint=endpoint,
        restart=restart,
        running=len(death.in_flight),
    )
    await application.broadcast(notice_of(death))


def notice_of(death: Death) -> DeathNotice:
    """Return what peers are told of a death."""
    in_flight = tuple(tuple(sorted(marks)) for marks in death.in_flight)
    return DeathNotice(death.identity, in_flight)


def death_of(notice: DeathNotice) -> Death:
    """Return the death that a peer tells of."""
    in_flight = frozenset(frozenset(marks) for marks in notice.in_flight)
    return Death(notice.identity, in_flight)


async def refuses(application: 'Application', work: Work) -> bool:
    """Return whether the work may not run; peers are told of a refusal.

    They may know less of the deaths, or take other deaths for the cause.
    """
    if application.judge(work) is not Verdict.REFUSED:
        return False
    log_event(Event.REQUEST_QUARANTINED, request=work.request)
    deaths = application.policy.quarantine.observe_refusal(work.marks)
    if deaths:
        notices = tuple(notice_of(death) for death in deaths)
        await application.broadcast(
            RefusalNotice(tuple(sorted(work.marks)), notices)
        )
    return True


async def clear(application: 'Application', marks: Marks) -> None:
    """Clear a completed request of its strikes, here and on all peers."""
    pairs = application.policy.quarantine.observe_completion(marks)
    if pairs:
        await application.broadcast(ClearanceNotice(tuple(sorted(pairs))))


@handle_message.register(DeathNotice)
async def answer_death(
    message: DeathNotice, sender: str, application: 'Application'
) -> None:
    """Take over the strikes of a peer."""
    application.policy.quarantine.merge(
        (death_of(message),), (), application.clock()
    )


@handle_message.register(ClearanceNotice)
async def answer_clearance(
    message: ClearanceNotice, sender: str, application: 'Application'
) -> None:
    """Take over the clearances of a peer."""
    application.policy.quarantine.merge((), message.pairs, application.clock())


@handle_message.register(RefusalNotice)
async def answer_refusal(
    message: RefusalNotice, sender: str, application: 'Application'
) -> None:
    """Refuse the request here as well."""
    application.policy.quarantine.merge_refusal(
        frozenset(message.marks),
        map(death_of, message.deaths),
        application.clock(),
    )

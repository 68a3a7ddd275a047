"""Steps for refusals of requests that crash endpoints."""

from behave import given, then, when
from behave.runner import Context

from support.request_marks import in_flight, marks
from turmericyard_decisions.quarantine import (
    EndpointDeath,
    Verdict,
    create_quarantine,
)


def two_deaths() -> tuple[EndpointDeath, ...]:
    return tuple(
        EndpointDeath(f'e{place}:r', in_flight((1,))) for place in (1, 2)
    )


@given(
    'request 1 ran on 2 endpoints that died, the second {gap:d} seconds later'
)
def step_two_deaths(context: Context, gap: int) -> None:
    context.quarantine = create_quarantine()
    context.gap = gap
    for place, death in enumerate(two_deaths()):
        context.quarantine.observe_death(death, place * gap)


@given(
    'a peer that knows of another death {late:d} second after the second one'
)
def step_peer(context: Context, late: int) -> None:
    context.peer = create_quarantine()
    for place, death in enumerate(two_deaths()):
        context.peer.observe_death(death, place * context.gap)
    other = EndpointDeath('e3:r', in_flight((2,)))
    context.peer.observe_death(other, context.gap + late)


@when('request 1 is refused')
def step_refuse(context: Context) -> None:
    assert context.quarantine.classify(marks(1), 2) is Verdict.REFUSED
    context.deaths = context.quarantine.observe_refusal(marks(1))
    assert {each.identity for each in context.deaths} == {'e1:r', 'e2:r'}
    assert not context.quarantine.observe_refusal(marks(1))


@when(
    'an endpoint that ran request 2 dies {late:d} second after the second one'
)
def step_other_dies(context: Context, late: int) -> None:
    other = EndpointDeath('e3:r', in_flight((2,)))
    context.quarantine.observe_death(other, context.gap + late)


@then(
    'the peer judges request 1 {before} before it learns of the refusal and'
    ' {after} afterwards'
)
def step_peer_judges(context: Context, before: str, after: str) -> None:
    assert context.peer.classify(marks(1), 2) is Verdict[before]
    context.peer.merge_refusal(marks(1), context.deaths, context.gap + 2)
    assert context.peer.classify(marks(1), 2) is Verdict[after]

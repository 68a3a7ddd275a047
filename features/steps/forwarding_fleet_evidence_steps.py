"""Steps for evidence of endpoints that nodes share."""

from uuid import uuid4

from behave import then, when
from behave.runner import Context

from support.fleet.scenario import run
from support.fleet.world import World
from turmericyard_decisions.outlier import PLAIN_FLEET_WEIGHT
from turmericyard_node.forwarding.assembly import ejected_endpoints
from turmericyard_node.forwarding.endpoint_evidence import (
    ALL_ZONES,
    FleetEvidence,
    ejected_in_zone,
)
from turmericyard_protocol.fleet_messages import EndpointAnswers

CALLS = 10


@when('{count:d} nodes have one failed call each')
def step_failures(context: Context, count: int) -> None:
    async def scenario(world: World) -> None:
        failing = world.runners['i-0']
        nodes = list(world.nodes)
        for number, node in enumerate(nodes[:count], 1):
            while len(failing.ran) < number:
                await world.ask(node, '/write/a', f'at-{uuid4().hex}')
        other = world.nodes[nodes[count]]
        await world.until(
            lambda: 'i-0' in ejected_endpoints(other.fleet, other.settings.zone)
        )
        before = len(failing.ran)
        for number in range(CALLS):
            await world.ask(nodes[count], '/write/a', f'at-{number}')
        context.reached = len(failing.ran) - before

    run(context, scenario)


@then('no call of another node reaches the failing endpoint')
def step_reached(context: Context) -> None:
    assert not context.reached, context.reached


def create_evidence() -> FleetEvidence:
    return FleetEvidence(lambda: 1.0, lambda _: PLAIN_FLEET_WEIGHT)


@when('the nodes of one zone get 6 failures and those of each other 6 answers')
def step_zones(context: Context) -> None:
    context.evidence = create_evidence()
    failed = EndpointAnswers(1, 'i-0', 0, 1, 0)
    good = EndpointAnswers(1, 'i-0', 1, 0, 0)
    for number in range(6):
        context.evidence.record(f'n-a{number}', 'a', (failed,))
        for zone in ('b', 'c', 'd'):
            context.evidence.record(f'n-{zone}{number}', zone, (good,))


@when('one node of each of 4 zones gets a failure of a plain endpoint')
def step_all_zones(context: Context) -> None:
    context.evidence = create_evidence()
    failed = EndpointAnswers(1, 'i-0', 0, 1, 0)
    for zone in ('a', 'b', 'c', 'd'):
        context.evidence.record(f'n-{zone}', zone, (failed,))


@then('the endpoint is ejected for every zone')
def step_every_zone(context: Context) -> None:
    for zone in ('a', 'another'):
        assert ejected_in_zone(context.evidence.ejected(), zone) == {'i-0'}


@then('the endpoint is ejected for the one zone only')
def step_one_zone(context: Context) -> None:
    assert context.evidence.ejected() == (('i-0', 'a'),), context.evidence
    assert ejected_in_zone(context.evidence.ejected(), 'a') == {'i-0'}
    assert not ejected_in_zone(context.evidence.ejected(), 'b')


@when('a node sends batches again, late and after a restart')
def step_batches(context: Context) -> None:
    context.evidence = create_evidence()
    reference = create_evidence()
    first = EndpointAnswers(5, 'i-0', 2, 1, 0)
    second = EndpointAnswers(6, 'i-0', 1, 1, 0)
    restarted = EndpointAnswers(9, 'i-0', 0, 1, 0)
    for batch in ((first,), (first, second), (first,), (restarted,)):
        context.evidence.record('n-0', 'a', batch)
    for each in (first, second, restarted):
        reference.observe('a', each)
        reference.observe(ALL_ZONES, each)
    context.expected = reference.evidence


@then('the evidence equals that of each answer counted once')
def step_same_evidence(context: Context) -> None:
    assert context.evidence.evidence == context.expected


@when('{count:d} endpoints answer once and then not for 61 seconds')
def step_old(context: Context, count: int) -> None:
    now = [1.0]
    context.evidence = FleetEvidence(
        lambda: now[0], lambda _: PLAIN_FLEET_WEIGHT
    )
    for number in range(count):
        counted = EndpointAnswers(number + 1, f'i-{number}', 1, 0, 0)
        context.evidence.record('n-0', 'a', (counted,))
    assert len(context.evidence.evidence) == 2 * count
    now[0] += 61
    context.evidence.changed_ejections()


@then('no evidence of them is kept')
def step_forgotten(context: Context) -> None:
    assert not context.evidence.evidence

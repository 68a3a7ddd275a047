"""Steps for evidence of endpoints that all nodes share."""

import curio
from behave import then, when
from behave.runner import Context

from support.fleet.scenario import run
from support.fleet.world import World
from turmericyard_node.forwarding.answers import FleetEvidence
from turmericyard_protocol.fleet_messages import EndpointAnswers

#: Between two rounds of bookings, in seconds: a beat and an update.
ROUND_SECONDS = 0.8


@when('a client asks each node for {count:d} bookings in turn')
def step_bookings(context: Context, count: int) -> None:
    async def scenario(world: World) -> None:
        for number in range(count):
            for node in world.nodes:
                await world.ask(node, '/write/a', f'at-{node}-{number}')
            await curio.sleep(ROUND_SECONDS)
        context.reached = len(world.runners['i-0'].ran)

    run(context, scenario)


@then('at most {count:d} bookings reached the failing endpoint')
def step_reached(context: Context, count: int) -> None:
    assert context.reached <= count, context.reached


def create_evidence() -> FleetEvidence:
    return FleetEvidence(lambda: 1.0)


@when('the nodes of one zone get 6 failures and those of another 6 answers')
def step_zones(context: Context) -> None:
    context.evidence = create_evidence()
    for number in range(6):
        failed = EndpointAnswers('i-0', 0, 1, 0)
        good = EndpointAnswers('i-0', 1, 0, 0)
        context.evidence.take(f'n-a{number}', 'a', (failed,))
        context.evidence.take(f'n-b{number}', 'b', (good,))


@then('the endpoint is set aside for the one zone only')
def step_one_zone(context: Context) -> None:
    assert context.evidence.aside() == (('i-0', 'a'),)
    assert context.evidence.is_aside('i-0', 'a')
    assert not context.evidence.is_aside('i-0', 'b')


@when("a node's counts come twice, an older one late, and from its next start")
def step_counts(context: Context) -> None:
    context.evidence = create_evidence()
    plain = create_evidence()
    for good, failed in ((2, 1), (2, 1), (3, 2)):
        counted = EndpointAnswers('i-0', good, failed, 0)
        context.evidence.take('n-0', 'a', (counted,))
    context.evidence.take('n-0', 'a', (EndpointAnswers('i-0', 0, 1, 0),))
    for good, failed in ((2, 1), (3, 2)):
        counted = EndpointAnswers('i-0', good, failed, 0)
        plain.take('n-0', 'a', (counted,))
    plain.take('n-1', 'a', (EndpointAnswers('i-0', 0, 1, 0),))
    context.expected = plain.evidence


@then('the evidence is that of the answers themselves')
def step_same_evidence(context: Context) -> None:
    assert context.evidence.evidence == context.expected

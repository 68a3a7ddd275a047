"""Steps for endpoints that announce in their answers that they leave."""

from collections.abc import Iterable
from uuid import uuid4

import curio
from behave import then, when
from behave.runner import Context

from support.fleet.scenario import run, running, stream
from support.fleet.world import World

#: Calls made to check whether an endpoint still gets any.
PROBES = 12
LEAVING = 'i-0'
#: Time within which a leaving sign reaches all nodes, in seconds.
SPREAD_SECONDS = 0.5
#: Interval of renewals of an endpoint's record on the platform, in seconds.
RENEW_SECONDS = 1.2
#: Time between an engine's notice and its end, in seconds: the shortest that
#: the platform gives.
NOTICE_SECONDS = 1.5


async def until_seen(world: World, node: str = 'n-0') -> None:
    """Send calls until the leaving endpoint has answered the node once."""
    runner = world.runners[LEAVING]
    runner.leaving = True
    before = len(runner.ran)
    while len(runner.ran) == before:
        await world.ask(node, '/write/a', f'at-{uuid4().hex}')


async def probe(world: World, nodes: Iterable[str]) -> int:
    """Return how many of `PROBES` calls to each node reach the endpoint."""
    runner = world.runners[LEAVING]
    before = len(runner.arrivals)
    for node in nodes:
        for _ in range(PROBES):
            answer = await world.ask(node, '/write/a', f'at-{uuid4().hex}')
            assert answer.status == 200, answer
    return len(runner.arrivals) - before


@when('an endpoint announces its leaving while the store is down')
def step_store_down(context: Context) -> None:
    async def scenario(world: World) -> None:
        world.store.mode = 'busy'
        await until_seen(world)
        context.reached = await probe(world, ['n-0'])
        await curio.sleep(SPREAD_SECONDS)
        context.reached_any = await probe(world, world.nodes)

    run(context, scenario)


@when(
    'an endpoint announces its leaving while the store is down and a node joins'
)
def step_joins(context: Context) -> None:
    async def scenario(world: World) -> None:
        world.store.mode = 'busy'
        await until_seen(world)
        await curio.sleep(SPREAD_SECONDS)
        await world.add_node('n-9')
        await world.until(world.nodes['n-9'].is_ready)
        context.reached_new = await probe(world, ['n-9'])

    run(context, scenario)


@when('an endpoint announces its leaving and its record is renewed as ready')
def step_renewed(context: Context) -> None:
    async def scenario(world: World) -> None:
        await until_seen(world)
        world.register(LEAVING, 'plain')
        node = world.nodes['n-0']
        revision = world.store.revision
        await world.until(lambda: node.platform_state.view.revision >= revision)
        context.reached = await probe(world, ['n-0'])

    run(context, scenario)


@when('an endpoint announces its leaving and restarts')
def step_restarted(context: Context) -> None:
    async def scenario(world: World) -> None:
        await until_seen(world)
        world.runners[LEAVING].leaving = False
        world.register(LEAVING, 'plain', born=2)
        registry = world.nodes['n-0'].platform_state.registry
        await world.until(lambda: registry.endpoints[LEAVING].record.born == 2)
        context.reached = await probe(world, ['n-0'])

    run(context, scenario)


@when(
    'an engine leaves while the store is silent and {count:d} events are'
    ' streamed'
)
def step_silent(context: Context, count: int) -> None:
    async def scenario(world: World) -> None:
        asking = await stream(world, count)
        world.store.mode = 'silent'
        identity = running(world)[0]
        world.runners[identity].leaving = True
        await curio.sleep(NOTICE_SECONDS)
        await world.end_runner(identity)
        context.answer = await asking.join()

    run(context, scenario)


async def renew_records(world: World) -> None:
    """Renew the engines' records at the interval at which they do so."""
    while True:
        for identity in world.runners:
            world.register(identity, 'engines')
            await curio.sleep(RENEW_SECONDS / len(world.runners))


@when('{count:d} events are streamed')
def step_streamed(context: Context, count: int) -> None:
    async def scenario(world: World) -> None:
        renewing = await curio.spawn(renew_records, world)
        asking = await stream(world, count)
        context.answer = await asking.join()
        await renewing.cancel()
        context.reports = [one.reports for one in world.runners.values()]

    run(context, scenario)


@then('no engine was polled for its report')
def step_no_reports(context: Context) -> None:
    assert context.answer.whole, context.answer
    assert not any(context.reports), context.reports


@when('that endpoint announces its leaving')
def step_other(context: Context) -> None:
    async def scenario(world: World) -> None:
        runner = world.runners[LEAVING]
        runner.leaving = True
        while not runner.arrivals:
            await world.ask('n-0', '/write/a', f'at-{uuid4().hex}')
        registry = world.nodes['n-0'].platform_state.registry
        context.leaving_since = registry.endpoints[LEAVING].leaving_since

    run(context, scenario)


@then('the expected endpoint is not marked as leaving')
def step_not_leaving(context: Context) -> None:
    assert context.leaving_since is None


@then('it gets no request of the node that forwarded the sign')
def step_nothing(context: Context) -> None:
    assert context.reached == 0, context.reached


@then('it gets requests again')
def step_again(context: Context) -> None:
    assert context.reached > 0


@then('it gets no request of any node within 0.5 seconds')
def step_none(context: Context) -> None:
    assert context.reached_any == 0, context.reached_any


@then('it gets no request of the new node')
def step_none_new(context: Context) -> None:
    assert context.reached_new == 0, context.reached_new

"""Steps for nodes that start during an outage or stop under load."""

from functools import partial

import curio
from behave import then, when
from behave.runner import Context

from support.fleet.scenario import asks, run, seconds_until
from support.fleet.world import World, manifest

#: Time between two calls to a node that stops, in seconds: all calls arrive while
#: clients still have its address.
ARRIVAL_SECONDS = 0.03


@when('a key is withdrawn, the store goes down and another node starts')
def step_withdrawn(context: Context) -> None:
    async def scenario(world: World) -> None:
        changed = manifest(5, tenants=[{'name': 'firm', 'apiKeys': ['key-2']}])
        world.store.put('op/config', changed)
        await seconds_until(
            world, partial(asks, world, 'n-0', '/read/a', 401), 4
        )
        world.store.mode = 'busy'
        node = await world.add_node('n-9')
        context.statuses = set()
        while not node.is_ready():
            answer = await world.ask('n-9', '/read/a', 'at-early')
            context.statuses.add(answer.status)
        answer = await world.ask('n-9', '/read/a', 'at-late')
        context.statuses.add(answer.status)

    run(context, scenario)


@then('that node never served the key')
def step_never(context: Context) -> None:
    assert context.statuses <= {401, 503}, context.statuses
    assert 401 in context.statuses


@when('a node is told to stop while {count:d} calls arrive on new connections')
def step_stop_busy(context: Context, count: int) -> None:
    async def scenario(world: World) -> None:
        calls = []
        for number in range(count):
            if number == count // 4:
                stopping = await curio.spawn(world.nodes['n-0'].stop)
            call = partial(world.ask, 'n-0', '/write/a', f'at-{number}')
            calls.append(await curio.spawn(call))
            await curio.sleep(ARRIVAL_SECONDS)
        context.answers = [await call.join() for call in calls]
        await stopping.join()

    run(context, scenario)

"""Steps for nodes that end for good."""

import curio
from behave import then, when
from behave.runner import Context

from support.fleet.scenario import run
from support.fleet.world import World
from turmericyard_node.forwarding.hub_choice import EXCLUSION_SECONDS
from turmericyard_node.members import MEMBERS_PREFIX

#: Time for which nodes exchange heartbeats with new hubs, in seconds.
EXCHANGE_SECONDS = 1.5
#: Time after its end at which the record of a killed node lapses, in seconds.
LAPSE_SECONDS = 1.0
ZONE = 'elsewhere'


def hubs(world: World) -> list[str]:
    return list(world.nodes['n-0'].fleet.hub_choice.names)


@when('a node that was a hub for a while {ends}')
def step_former_hub(context: Context, ends: str) -> None:
    async def scenario(world: World) -> None:
        first, *before = hubs(world)
        for node in world.nodes.values():
            node.fleet.hub_choice.exclude(first)
        [former] = set(hubs(world)) - set(before)
        await curio.sleep(EXCLUSION_SECONDS + EXCHANGE_SECONDS)
        assert former not in hubs(world), (former, hubs(world))
        await end(context, world, former, ends)

    run(context, scenario)


@when('a node that is a hub {ends}')
def step_hub(context: Context, ends: str) -> None:
    async def scenario(world: World) -> None:
        await end(context, world, hubs(world)[0], ends)

    run(context, scenario)


@when('a node that is no hub {ends}')
def step_no_hub(context: Context, ends: str) -> None:
    async def scenario(world: World) -> None:
        others = [name for name in world.nodes if name not in hubs(world)]
        await end(context, world, others[0], ends)

    run(context, scenario)


async def end(context: Context, world: World, name: str, ends: str) -> None:
    """End a node for good; collect what the others list 6 seconds later."""
    node = world.nodes.pop(name)
    if ends == 'is told to stop':
        await node.stop()
    else:
        await world.kill(node)
        await curio.sleep(LAPSE_SECONDS)
        record = world.store.items[MEMBERS_PREFIX + name]
        world.store.end_lease(record.lease)
    await curio.sleep(6)
    context.listing = [
        other
        for other, running in world.nodes.items()
        if node.settings.callers in running.fleet.addresses(ZONE)
    ]
    await curio.sleep(4)
    context.knowing = [
        other
        for other, running in world.nodes.items()
        if name in running.fleet.membership.members
    ]


@then('no other node lists its address after 6 seconds')
def step_not_listed(context: Context) -> None:
    assert not context.listing, context.listing


@then('no other node knows it as a member after 10 seconds')
def step_not_known(context: Context) -> None:
    assert not context.knowing, context.knowing

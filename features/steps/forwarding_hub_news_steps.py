"""Steps for what a node does with a hub's news."""

import json

from behave import then, when
from behave.runner import Context

from support.fleet.scenario import run
from support.fleet.world import World
from turmericyard_node.forwarding.hub_choice import HubNews
from turmericyard_protocol.fleet_messages import HubUpdate, StoreItem

HUB = 'n-hub'
FIRST_SEQUENCE = 10


def from_hub(
    sequence: int, revision: int, items: tuple[StoreItem, ...] = ()
) -> HubUpdate:
    return HubUpdate(sequence, False, (), None, revision, 0, False, items)


def leaving_item(world: World, identity: str, revision: int) -> StoreItem:
    key = f'servers/{identity}'
    record = json.loads(world.nodes['n-0'].knowledge.view.items[key].value)
    changed = json.dumps({**record, 'state': 'draining'}).encode()
    return StoreItem(key, changed, revision)


def known_leaving(world: World) -> set[str]:
    endpoints = world.nodes['n-0'].knowledge.book.endpoints.values()
    return {
        each.identity for each in endpoints if each.leaving_since is not None
    }


@when(
    "a hub tells of one endpoint's leaving, answers an earlier beat and tells"
    " of the other's"
)
def step_crossed(context: Context) -> None:
    async def scenario(world: World) -> None:
        fleet = world.nodes['n-0'].fleet
        revision = fleet.knowledge.view.revision
        fleet.hubs.news[HUB] = HubNews(sequence=FIRST_SEQUENCE)
        for number, identity in enumerate(world.runners, 1):
            item = leaving_item(world, identity, revision + number)
            told = from_hub(FIRST_SEQUENCE + number, item.revision, (item,))
            await fleet.observe(HUB, told)
            await fleet.observe(HUB, from_hub(FIRST_SEQUENCE, 0))
        context.known = known_leaving(world)

    run(context, scenario)


@then('the node knows at once that both endpoints leave')
def step_both_known(context: Context) -> None:
    assert context.known == set(context.world.runners), context.known


@when(
    "a hub's news of one endpoint are lost and it tells of the other's leaving"
)
def step_missed(context: Context) -> None:
    async def scenario(world: World) -> None:
        fleet = world.nodes['n-0'].fleet
        revision = fleet.knowledge.view.revision
        fleet.hubs.news[HUB] = HubNews(sequence=FIRST_SEQUENCE)
        context.other = list(world.runners)[1]
        item = leaving_item(world, context.other, revision + 2)
        told = from_hub(FIRST_SEQUENCE + 2, item.revision, (item,))
        await fleet.observe(HUB, told)
        context.known = known_leaving(world)
        context.view_revision = fleet.knowledge.view.revision
        context.revision = revision
        context.beat = fleet.beat(HUB)

    run(context, scenario)


@then('the node knows at once that the other endpoint leaves')
def step_other_known(context: Context) -> None:
    assert context.known == {context.other}, context.known
    assert context.view_revision == context.revision


@then('its next beat asks the hub for everything')
def step_asks_all(context: Context) -> None:
    assert context.beat.sequence == 0

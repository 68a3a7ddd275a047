"""Steps for connections that fall silent while the configuration changes."""

from itertools import count

import curio
from behave import given, then, when
from behave.runner import Context

from steps.forwarding_knowledge_steps import logged
from support.fleet.cuts import silence_links
from support.fleet.scenario import run
from support.fleet.world import (
    Answer,
    World,
    manifest,
    read_answer,
    request_lines,
)
from support.fleet_soak.fleet_checks import APPLY_SECONDS, IN_TOUCH_SECONDS
from support.fleet_soak.load import FAILURES
from support.fleet_soak.nodes import NodeProcess
from support.fleet_soak.request_checks import NOT_FOUND
from support.fleet_soak.stage import Stage, open_stage
from turmericyard_http.clock import boot_seconds
from turmericyard_http.connection import connect
from turmericyard_node.events import Event
from turmericyard_node.forwarding.application import ForwardingApplication

#: How long versions are written, and the nodes are watched, in seconds.
WRITING_SECONDS = 4.0
WATCHED_SECONDS = 8.0
POLL_SECONDS = 0.05
ANSWER_SECONDS = 1.0
#: Prefix of the names of the links that fall silent.
LINKS = {'everywhere': '', 'between the nodes': 'peer', 'to the store': 'store'}
#: Version of the configuration that is written after the silence, and how long
#: the nodes may take to know it.
VERSION = 5
LATEST_SECONDS = 6.0
numbers = count()


@given('{nodes:d} nodes in touch with each other and the store')
def step_nodes(context: Context, nodes: int) -> None:
    context.node_count = nodes


@when(
    'all connections {where} fall silent while a version is written each'
    ' {seconds:g} seconds'
)
def step_silent(context: Context, where: str, seconds: float) -> None:
    async def scenario() -> list[str]:
        stage = await open_stage(context.launcher, context.node_count, 2)
        try:
            await curio.sleep(IN_TOUCH_SECONDS)
            return await silence(stage, LINKS[where], seconds)
        finally:
            await stage.close()

    context.late = curio.run(scenario)


async def silence(stage: Stage, prefix: str, pause: float) -> list[str]:
    """Return the requests that a node refused for lack of a due version."""
    began = boot_seconds()
    for name, link in stage.links.items():
        if name.startswith(prefix):
            await link.control({'mode': 'silent'})
    late: list[str] = []
    async with curio.TaskGroup() as group:
        await group.spawn(write_versions, stage, pause)
        for node in stage.nodes.values():
            await group.spawn(watch, stage, node, began, late)
    return late


async def write_versions(stage: Stage, pause: float) -> None:
    ends = boot_seconds() + WRITING_SECONDS
    while boot_seconds() < ends:
        stage.write_configuration()
        await curio.sleep(pause)


async def watch(
    stage: Stage, node: NodeProcess, began: float, late: list[str]
) -> None:
    """Ask a node for the newest version that has to be in force there."""
    while boot_seconds() < began + WATCHED_SECONDS:
        now = boot_seconds()
        due = [
            version
            for version, written in stage.versions.items()
            if now > max(written + APPLY_SECONDS, began + IN_TOUCH_SECONDS)
        ]
        if due and await status_of(node, f'/v{due[-1]}/a') == NOT_FOUND:
            age = now - stage.versions[due[-1]]
            late.append(f'{node.name} lacks version {due[-1]} of {age:.2f} s')
        await curio.sleep(POLL_SECONDS)


async def status_of(node: NodeProcess, target: str) -> int:
    """Return the status of a call on a new connection, 0 without an answer."""
    answer = Answer()
    lines = request_lines(f'at-{next(numbers)}', 1000, b'body')
    try:
        async with curio.timeout_after(ANSWER_SECONDS):
            connection = await connect(node.front)
            try:
                await connection.send_lines(
                    b'POST', target.encode(), lines, b'body'
                )
                await read_answer(connection, answer)
            finally:
                await connection.close()
    except (*FAILURES, curio.TaskTimeout):
        return answer.status
    return answer.status


@then(
    'each version is in force {seconds:d} seconds after it was written at all'
    ' nodes in touch'
)
def step_in_force(context: Context, seconds: int) -> None:
    assert not context.late, (len(context.late), context.late[:8])


@when(
    'the open connections between the nodes fall silent while endpoints change'
)
def step_links_silent(context: Context) -> None:
    async def scenario(world: World) -> None:
        changing = await curio.spawn(change_endpoint, world, daemon=True)
        await curio.sleep(1)
        silence_links(world, 1)
        await curio.sleep(IN_TOUCH_SECONDS)
        replies = full_replies(world)
        await curio.sleep(IN_TOUCH_SECONDS)
        context.full_replies = full_replies(world) - replies
        await changing.cancel()

    context.excluded = []
    with logged(Event.HUB_EXCLUDED, context.excluded):
        run(context, scenario)


async def change_endpoint(world: World) -> None:
    """Change the record of an endpoint five times a second."""
    for number in count():
        world.register('i-0', 'plain', slots=8 + number % 2)
        await curio.sleep(0.2)


def full_replies(world: World) -> int:
    return sum(
        node.fleet.hub.delivery.full_replies for node in world.nodes.values()
    )


@then('no hub is excluded')
def step_none_excluded(context: Context) -> None:
    assert not context.excluded, context.excluded


@then('from 3 seconds later on no node needs the full state')
def step_no_full_state(context: Context) -> None:
    assert context.full_replies == 0, context.full_replies


@when(
    'a share of {share:g} of the open connections between the nodes falls'
    ' silent'
)
def step_share_silent(context: Context, share: float) -> None:
    async def prepare(world: World) -> None:
        await curio.sleep(1)
        silence_links(world, share)

    context.prepare.append(prepare)


@when('{seconds:g} seconds later a version is written and an endpoint leaves')
def step_changes(context: Context, seconds: float) -> None:
    async def scenario(world: World) -> None:
        await curio.sleep(seconds)
        world.store.put('op/config', manifest(VERSION))
        world.register('i-0', 'plain', 'draining')
        written = boot_seconds()
        context.took = {}
        while len(context.took) < len(world.nodes):
            for name, node in world.nodes.items():
                if name not in context.took and knows_changes(node):
                    context.took[name] = boot_seconds() - written
            if boot_seconds() - written > LATEST_SECONDS:
                break
            await curio.sleep(POLL_SECONDS)
        context.missing = set(world.nodes).difference(context.took)

    run(context, scenario)


def knows_changes(node: ForwardingApplication) -> bool:
    state = node.platform_state
    table = state.route_table
    leaving = state.registry.endpoints['i-0'].leaving_since is not None
    return leaving and table.configuration.version == VERSION


@then('both are known at all nodes within {seconds:d} seconds')
def step_known(context: Context, seconds: int) -> None:
    assert not context.missing, context.missing
    late = {name: took for name, took in context.took.items() if took > seconds}
    assert not late, late

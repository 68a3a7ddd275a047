"""Steps for roll-outs of versions in a world of nodes."""

import json
from functools import partial
from typing import Any

import curio
from behave import given, then, when
from behave.runner import Context

from support.fleet.scenario import run
from support.fleet.world import World
from turmericyard_http.clock import boot_seconds

#: Interval of the requests, in seconds.
INTERVAL = 0.015
STATUS = 'status/rollout/plain'
STATE = 'turmericyard/rollouts/plain'


@given(
    'a world with {old:d} endpoints of version 1, {new:d} of version 2 and'
    ' {nodes:d} nodes'
)
def step_world(context: Context, old: int, new: int, nodes: int) -> None:
    async def build(world: World) -> None:
        for number in range(old):
            await add(world, f'old-{number}', '1', 'ab'[number % 2])
        for number in range(nodes):
            await world.add_node(f'n-{number}')
        await world.ready()
        world.new = [f'new-{number}' for number in range(new)]

    context.build = build
    context.prepare = []
    context.answers = []
    context.states = []


async def add(
    world: World, identity: str, version: str, zone: str, **more: Any
) -> None:
    await world.add_runner(identity, 'plain')
    world.register(identity, 'plain', version=version, zone=zone, **more)


def order(world: World, seconds: float, version: str = '2') -> None:
    world.store.put(
        'op/rollout/plain',
        {'service': 'plain', 'to': version, 'durationS': seconds},
    )


async def ask_all(context: Context, world: World, seconds: float) -> None:
    """Send calls to all nodes for some seconds and watch the status."""
    async with curio.TaskGroup() as group:
        ends_at = boot_seconds() + seconds
        number = 0
        while boot_seconds() < ends_at:
            live = sorted(world.nodes)
            node = live[number % len(live)]
            target = ('/read/a', '/write/a')[number // len(live) % 2]
            await group.spawn(ask, context, world, node, target, number)
            number += 1
            watch(context, world)
            await curio.sleep(INTERVAL)


async def ask(
    context: Context, world: World, node: str, target: str, number: int
) -> None:
    asked_at = boot_seconds()
    answer = await world.ask(node, target, f'at-{number}')
    context.answers.append((asked_at, answer.status))


def watch(context: Context, world: World) -> None:
    """Record when the status changes."""
    item = world.store.items.get(STATUS)
    state = json.loads(item.value)['state'] if item else ''
    if not context.states or context.states[-1][1] != state:
        context.states.append((boot_seconds(), state))


async def happen(world: World, event: str) -> None:
    """Let an event happen in the middle of a roll-out."""
    if event == 'the deciding hub dies':
        node = next(iter(world.nodes.values()))
        await world.kill(world.nodes.pop(node.fleet.hub_choice.names[0]))
    elif event == 'the store is restored':
        world.store.restore(world.backup)
    elif event == 'a zone is evacuated':
        world.store.put('op/evacuate/b', {})
    elif event == 'endpoints are removed':
        for identity in ('old-0', 'new-0'):
            world.store.drop(f'servers/{identity}')
    elif event == 'the order is withdrawn':
        world.store.drop('op/rollout/plain')


async def turn(world: World, kind: str, seconds: float) -> None:
    """Make the new version bad, at once or after the first third."""
    if kind.endswith('later'):
        await curio.sleep(seconds / 3)
    for identity in world.new:
        runner = world.runners[identity]
        if kind == 'slow':
            runner.event_seconds = 0.15
        elif kind == 'failing on writes':
            runner.write_fault = 'error'
        elif kind != 'good':
            runner.fault = 'error'


@when('version 2 is ordered over {seconds:d} seconds, is {kind}, and {event}')
def step_ordered(context: Context, seconds: int, kind: str, event: str) -> None:
    context.seconds = seconds

    async def scenario(world: World) -> None:
        watch(context, world)
        context.ordered_at = boot_seconds()
        order(world, seconds)
        asking = await curio.spawn(ask_all, context, world, seconds + 2)
        await curio.sleep(0.3)
        cold = {'coldRemainingMs': 2000} if event.endswith('cold') else {}
        for number, identity in enumerate(world.new):
            await add(world, identity, '2', 'ab'[number % 2], **cold)
        if event == 'another service has an order':
            value = {'service': 'engines', 'to': '2', 'durationS': seconds}
            world.store.put('op/rollout/engines', value)
        if event == 'endpoints are brittle':
            for runner in world.runners.values():
                runner.brittle = 4
        turning = await curio.spawn(turn, world, kind, seconds)
        await curio.sleep(1.2)
        world.backup = world.store.back_up()
        await curio.sleep(0.8)
        await happen(world, event)
        await asking.join()
        await turning.join()

    run(context, scenario)


def arrivals(context: Context, prefix: str) -> list[float]:
    """Return when requests arrived at endpoints with a prefix."""
    return sorted(
        at
        for identity, runner in context.world.runners.items()
        if identity.startswith(prefix)
        for at in runner.arrived_at
    )


def reached_at(context: Context, state: str) -> float:
    return next(
        (at for at, each in context.states if each == state), float('inf')
    )


@then('the roll-out is {state:w} before its end')
def step_state(context: Context, state: str) -> None:
    took = reached_at(context, state) - context.ordered_at
    assert took < context.seconds, (took, context.states)
    assert context.states[-1][1] == state, context.states


@then('its endpoints got nothing before it was running')
def step_before(context: Context) -> None:
    running_at = reached_at(context, 'running')
    first = min(arrivals(context, 'new'), default=float('inf'))
    assert first >= running_at - 0.05, (first, running_at)


@then('they got no more than a tenth of the requests and 50 before completion')
def step_exposure(context: Context) -> None:
    until = min(
        reached_at(context, 'completed'), context.ordered_at + context.seconds
    )
    new = sum(at < until for at in arrivals(context, 'new'))
    asked = sum(at < until for at, _ in context.answers)
    assert new <= asked / 10 + 50, (new, asked)
    context.exposure = (new, asked)


@then(
    'they got nothing 1 second after a roll-back, and the old ones nothing 1'
    ' second after completion'
)
def step_after(context: Context) -> None:
    for state, prefix in (('rolled_back', 'new'), ('completed', 'old')):
        limit = reached_at(context, state) + 1
        late = [at for at in arrivals(context, prefix) if at > limit]
        assert not late, (state, len(late), late[:3], limit)


@then('at least {share:d}% of the requests were served')
def step_served(context: Context, share: int) -> None:
    good = sum(status == 200 for _, status in context.answers)
    assert good >= share / 100 * len(context.answers), (
        good,
        len(context.answers),
        context.exposure,
        context.states,
    )


@when('the order for "{service}" is {value}')
def step_value(context: Context, service: str, value: str) -> None:
    async def scenario(world: World) -> None:
        await add(world, 'new-0', '2', 'a')
        world.store.put(f'op/rollout/{service}', value.encode())
        await ask_all(context, world, 1.5)

    run(context, scenario)


@then('it has no status and every request was served')
def step_nothing(context: Context) -> None:
    items = context.world.store.items
    assert not any(key.startswith('status/') for key in items), items
    assert {status for _, status in context.answers} == {200}


@when('version 2 is ordered and after 2 seconds version 3 instead')
def step_changed(context: Context) -> None:
    async def scenario(world: World) -> None:
        order(world, 20)
        for identity in world.new:
            await add(world, identity, '2', 'a')
        asking = await curio.spawn(partial(ask_all, context, world, 6))
        await curio.sleep(2)
        await add(world, 'next-0', '3', 'a')
        order(world, 20, '3')
        context.changed_at = boot_seconds()
        await asking.join()

    run(context, scenario)


@then(
    'version 3 is running, version 2 gets nothing, and the bar is in the store'
)
def step_barred(context: Context) -> None:
    items = context.world.store.items
    status = json.loads(items[STATUS].value)
    assert status == {'state': 'running', 'to': '3'}, status
    assert json.loads(items[STATE].value)['barred'] == ['2']
    late = [
        at for at in arrivals(context, 'new') if at > context.changed_at + 1
    ]
    assert not late, late
    assert arrivals(context, 'next')

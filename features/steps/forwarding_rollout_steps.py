"""Steps for roll-outs of versions in a world of nodes."""

import json
from functools import partial
from itertools import pairwise
from typing import Any

import curio
from behave import given, then, when
from behave.runner import Context
from msgspec.structs import replace

from support.fleet.scenario import PROMPT, run
from support.fleet.world import World, manifest
from turmericyard_decisions.rollout_stage import Stage
from turmericyard_http.clock import boot_seconds
from turmericyard_http.messages import Response

#: Interval of the requests, in seconds.
INTERVAL = 0.025
STATUS = 'status/rollout/plain'
STATE = 'turmericyard/rollouts/plain'


@given(
    'a world with {old:d} endpoints of version 1, {new:d} of version 2 and'
    ' {nodes:d} nodes'
)
def step_world(
    context: Context, old: int, new: int, nodes: int, service: str = 'plain'
) -> None:
    async def build(world: World) -> None:
        world.service = service
        if service == 'engines':
            world.store.put('op/config', manifest(2, resumable=True))
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


@given(
    'a world with {old:d} engines of version 1, {new:d} of version 2 and'
    ' {nodes:d} nodes, and streams that may resume'
)
def step_engines(context: Context, old: int, new: int, nodes: int) -> None:
    step_world(context, old, new, nodes, 'engines')


async def add(
    world: World, identity: str, version: str, zone: str, **more: Any
) -> None:
    await world.add_runner(identity, world.service)
    if world.service == 'engines':
        world.runners[identity].event_seconds = 0.01
    world.register(identity, world.service, version=version, zone=zone, **more)


def order(world: World, seconds: float, version: str = '2') -> None:
    world.store.put(
        f'op/rollout/{world.service}',
        {'service': world.service, 'to': version, 'durationS': seconds},
    )


async def ask_all(context: Context, world: World, seconds: float) -> None:
    """Send calls to all nodes for some seconds and watch the status."""
    async with curio.TaskGroup() as group:
        ends_at = boot_seconds() + seconds
        number = 0
        while boot_seconds() < ends_at:
            live = sorted(world.nodes)
            node = live[number % len(live)]
            targets = ('/read/a', '/write/a')
            if world.service == 'engines':
                targets = ('/stream/a',)
            target = targets[number // len(live) % len(targets)]
            await group.spawn(ask, context, world, node, target, number)
            number += 1
            watch(context, world)
            await curio.sleep(INTERVAL)


async def ask(
    context: Context, world: World, node: str, target: str, number: int
) -> None:
    asked_at = boot_seconds()
    prompt = PROMPT if target.startswith('/stream') else {}
    answer = await world.ask(node, target, f'at-{number}', **prompt)
    status = answer.status if answer.whole else 0
    context.answers.append((asked_at, status))


def watch(context: Context, world: World) -> None:
    """Record when the status changes."""
    item = world.store.items.get(f'status/rollout/{world.service}')
    state = json.loads(item.value)['state'] if item else ''
    if not context.states or context.states[-1][1] != state:
        context.states.append((boot_seconds(), state))


async def happen(world: World, event: str) -> None:
    """Let an event happen in the middle of a roll-out."""
    if event.startswith('the deciding hub dies'):
        node = next(iter(world.nodes.values()))
        await world.kill(world.nodes.pop(node.fleet.hub_choice.names[0]))
    elif event == 'the store is down for 2 s':
        world.store.mode = 'busy'
        await curio.sleep(2)
        world.store.mode = ''
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
            # With 0.15 s it was completed in 1 of 4 runs beside load.
            runner.head_seconds = 0.3 if world.service == 'engines' else 0.15
            runner.event_seconds = 0.01 if world.service == 'engines' else 0.15
        elif kind == 'slow in pace':
            runner.event_seconds = 0.04
        elif kind == 'breaking':
            runner.fault = 'break'
        elif kind.endswith('on writes'):
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
        late = seconds - 1.5 - 4.2
        await curio.sleep(late if event.endswith('late') else 0.8)
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


@then('no stream went on at another version before the decision')
def step_same_version(context: Context) -> None:
    decided_at = reached_at(context, 'completed') - 3
    decided_at = min(decided_at, reached_at(context, 'rolled_back') - 0.5)
    sends: dict[str, list[tuple[float, str, int]]] = {}
    for identity, runner in context.world.runners.items():
        for headers, at in zip(runner.arrivals, runner.arrived_at, strict=True):
            last = int(headers.get('last-event-id', 0))
            sent = sends.setdefault(headers['x-turmericyard-attempt-id'], [])
            sent.append((at, identity[:3], last))
    moved = [
        (attempt, sent)
        for attempt, sent in sends.items()
        for before, after in pairwise(sorted(sent))
        if after[0] < decided_at and after[2] and before[1] != after[1]
    ]
    assert not moved, moved


@when(
    'version 2 is ordered over 25 seconds, fails from its third stage on with a'
    ' share of 0.3, and the store takes no writes'
)
def step_no_writes(context: Context) -> None:
    async def scenario(world: World) -> None:
        registry = world.nodes['n-0'].rollouts.registry
        registry.bounds = replace(registry.bounds, exposure_share=0.3)
        order(world, 25)
        for identity in world.new:
            await add(world, identity, '2', 'a')
        asking = await curio.spawn(ask_all, context, world, 24)
        rollouts = registry.rollouts
        await world.until(
            lambda: (
                'plain' in rollouts and rollouts['plain'].stage is Stage.THIRD
            ),
            seconds=15,
        )
        world.store_answers['n-0'] = partial(refuse_writes, world)
        for identity in world.new:
            world.runners[identity].fault = 'error'
        context.good = len(arrivals(context, 'new'))
        await asking.join()
        context.stopped = rollouts['plain'].stopped

    run(context, scenario)


async def refuse_writes(world: World, request: Any) -> Any:
    """Answer calls to the store but not writes."""
    if request.path == '/-/kv-txn':
        return Response(503)
    return await world.store.answer(request)


@then('the node has stopped by itself after at most {most:d} bad responses')
def step_stopped(context: Context, most: int) -> None:
    bad = len(arrivals(context, 'new')) - context.good
    assert context.stopped, (bad, context.states, len(context.answers))
    assert 50 <= bad <= most, bad


@when('version 2 is completed, the old endpoints go, and it is ordered again')
def step_again(context: Context) -> None:
    async def scenario(world: World) -> None:
        order(world, 8)
        for identity in world.new:
            await add(world, identity, '2', 'a')
        await ask_all(context, world, 8)
        for identity in ('old-0', 'old-1'):
            world.store.drop(f'servers/{identity}')
        await curio.sleep(0.5)
        order(world, 8)
        context.answers.clear()
        await ask_all(context, world, 2)

    run(context, scenario)


@then('it is completed and every request was served')
def step_still(context: Context) -> None:
    assert context.states[-1][1] == 'completed', context.states
    assert {status for _, status in context.answers} == {200}, [
        each for each in context.answers if each[1] != 200
    ]


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

"""Steps for nodes that are cut off from all endpoints."""

import re
from dataclasses import dataclass
from typing import Any

import curio
from behave import then, when
from behave.runner import Context

from support.fleet.cuts import NodeLinks, watch_links
from support.fleet.scenario import all_runs, run, stream
from support.fleet.world import Answer, World
from turmericyard_http.clock import boot_seconds

#: Time after which the rule holds, in seconds (stableWindowMs).
STABLE_SECONDS = 3.0
CUT_SECONDS = 6.0
#: Pause between two requests to a node, in seconds.
PAUSE_SECONDS = 0.1
#: Least share of the others' rate at which nodes that are cut off serve.
LEAST_SHARE = 2 / 3
OK = 200
UNAVAILABLE = 503
EVENT = re.compile(rb'id: (\d+)\ndata: (\S+)-(\d+)\n\n')
PROMPT = {
    'x_turmericyard_token_count': '1000,100',
    'x_turmericyard_model': 'm',
}


@dataclass
class Try:
    """The first try of a request at a node."""

    node: str
    attempt: str
    #: Seconds from the beginning of the cut.
    at: float
    answer: Answer


def watch_all(world: World) -> dict[str, NodeLinks]:
    return {name: watch_links(node) for name, node in world.nodes.items()}


async def send_tries(
    world: World, node: str, target: str, began: float, tries: list[Try]
) -> None:
    """Send requests to a node, each after the last, until the cut ends."""
    headers = PROMPT if target.startswith('/stream') else {}
    while boot_seconds() - began < CUT_SECONDS:
        at = boot_seconds() - began
        attempt = f'{node}-{len(tries)}'
        answer = await world.ask(
            node, target, attempt, deadline_ms=2500, **headers
        )
        tries.append(Try(node, attempt, at, answer))
        await curio.sleep(PAUSE_SECONDS)


async def cut_while(
    context: Context, world: World, cut: int, form: str, target: str
) -> None:
    for runner in world.runners.values():
        runner.length = 8
    links = watch_all(world)
    context.tries = []
    began = boot_seconds() + 0.5
    tasks = [
        await curio.spawn(
            send_tries, world, node, target, began, context.tries, daemon=True
        )
        for node in world.nodes
    ]
    await curio.sleep(0.5)
    context.cut = sorted(links)[-cut:]
    for name in context.cut:
        await links[name].cut(form)
    for task in tasks:
        await task.join()
    inspect_nodes(context, world)
    for name in context.cut:
        links[name].heal()


def inspect_nodes(context: Context, world: World) -> None:
    now = boot_seconds()
    context.ejected = [
        (name, identity)
        for name, node in world.nodes.items()
        if name not in context.cut
        for identity, endpoint in (
            node.platform_state.registry.endpoints.items()
        )
        if endpoint.evidence.is_ejected(now)
        or any(
            identity == each for each, _ in node.fleet.hub.evidence.ejected()
        )
    ]
    context.strikes = [
        strike
        for node in world.nodes.values()
        for strike in node.fleet.hub.findings.strikes.all_strikes()
        if strike.count
    ]


@when(
    '{cut:d} nodes are cut off from all endpoints ({form}) while calls arrive'
)
def step_calls(context: Context, cut: int, form: str) -> None:
    async def scenario(world: World) -> None:
        await cut_while(context, world, cut, form, '/read/a')

    run(context, scenario)


@when(
    '{cut:d} nodes are cut off from all endpoints ({form}) while generations'
    ' arrive'
)
def step_generations(context: Context, cut: int, form: str) -> None:
    async def scenario(world: World) -> None:
        await cut_while(context, world, cut, form, '/stream/a')

    run(context, scenario)


def served_share(tries: list[Try]) -> float:
    return sum(each.answer.status == OK for each in tries) / len(tries)


@then(
    'from {seconds:d} seconds after the cut its nodes serve two thirds as often'
    ' as the others'
)
def step_served(context: Context, seconds: int) -> None:
    late = [each for each in context.tries if each.at >= seconds]
    at_cut = [each for each in late if each.node in context.cut]
    others = [each for each in late if each.node not in context.cut]
    assert len(at_cut) >= 5 * len(context.cut), len(at_cut)
    shares = (served_share(at_cut), served_share(others))
    assert shares[1] > 0.9, shares
    assert shares[0] >= LEAST_SHARE * shares[1], shares


@then('every stream that began after the cut is whole and in order')
def step_whole(context: Context) -> None:
    for each in context.tries:
        if each.at < STABLE_SECONDS or each.answer.status != OK:
            continue
        assert each.answer.whole, each
        found = [int(number) for number, *_ in EVENT.findall(each.answer.body)]
        assert found == list(range(1, 9)), each


@then('no endpoint is ejected at the other nodes')
def step_not_ejected(context: Context) -> None:
    assert not context.ejected, context.ejected


@then('no request has a strike')
def step_no_strike(context: Context) -> None:
    assert not context.strikes, context.strikes


@when('{cut:d} nodes are cut off and back again and again while writes arrive')
def step_again(context: Context, cut: int) -> None:
    async def scenario(world: World) -> None:
        links = watch_all(world)
        context.tries = []
        tasks = [
            await curio.spawn(
                send_tries,
                world,
                node,
                '/write/a',
                boot_seconds(),
                context.tries,
            )
            for node in world.nodes
        ]
        for form in ('hang', 'reset', 'refuse', 'hang', 'reset', 'refuse'):
            for name in sorted(links)[-cut:]:
                await links[name].cut(form)
            await curio.sleep(0.6)
            for each in links.values():
                each.heal()
            await curio.sleep(0.3)
        for task in tasks:
            await task.join()
        context.ran = all_runs(world)

    run(context, scenario)


@then('no write ran twice')
def step_once(context: Context) -> None:
    assert len(context.ran) == len(set(context.ran))


@then('no write that was refused ran')
def step_refusals_true(context: Context) -> None:
    refused = {
        each.attempt
        for each in context.tries
        if each.answer.status == UNAVAILABLE
    }
    assert refused.isdisjoint(context.ran), refused & set(context.ran)


@when('a node with an open stream is cut off from all endpoints (refuse)')
def step_open_stream(context: Context) -> None:
    async def scenario(world: World) -> None:
        links = watch_all(world)
        asking = await stream(world, 60)
        await links['n-0'].cut('refuse')
        context.answer = await asking.join()
        context.ran = all_runs(world)

    run(context, scenario)


@then('the stream is whole after one run')
def step_one_run(context: Context) -> None:
    assert context.answer.whole
    assert len(context.ran) == 1, context.ran


@when(
    '{count:d} calls arrive at the same time at a node that is cut off ({form})'
)
def step_together(context: Context, count: int, form: str) -> None:
    async def scenario(world: World) -> None:
        await watch_all(world)['n-2'].cut(form)
        tasks = [
            await curio.spawn(world.ask, 'n-2', '/read/a', f'at-{number}')
            for number in range(count)
        ]
        answers = [await task.join() for task in tasks]
        context.answers = [answer.status for answer in answers]

    run(context, scenario)


@when('a node is cut off for 2 seconds and back for 3 seconds')
def step_back(context: Context) -> None:
    async def scenario(world: World) -> None:
        links = watch_all(world)['n-3']
        context.answers = []
        await links.cut('hang')
        await ask_for(world, 2, context.answers)
        links.heal()
        await ask_for(world, 3, context.answers)
        before = links.opened
        for number in range(10):
            await world.ask('n-3', '/read/a', f'direct-{number}')
        context.direct = links.opened - before

    run(context, scenario)


async def ask_for(world: World, seconds: float, answers: list[Any]) -> None:
    """Send a call to the last node again and again."""
    ends_at = boot_seconds() + seconds
    while boot_seconds() < ends_at:
        attempt = f'at-{boot_seconds()}'
        answers.append(await world.ask('n-3', '/read/a', attempt))
        await curio.sleep(PAUSE_SECONDS)


@then('it sends directly again')
def step_direct(context: Context) -> None:
    assert context.direct == 10, context.direct


@when('an endpoint ends without notice while calls arrive')
def step_ended(context: Context) -> None:
    async def scenario(world: World) -> None:
        context.answers = []
        server = world.servers.pop('i-0')
        await server.finish(0)
        await server.close()
        for number in range(40):
            answer = await world.ask(f'n-{number % 2}', '/read/a', f'a{number}')
            context.answers.append(answer.status)
        context.cut_off = [
            node.fleet.paths.is_cut_off for node in world.nodes.values()
        ]

    run(context, scenario)


@then('each call was served')
def step_each_served(context: Context) -> None:
    assert set(context.answers) == {OK}, context.answers


@then('no node takes itself for cut off')
def step_not_cut_off(context: Context) -> None:
    assert not any(context.cut_off)


@when('all nodes are cut off from all endpoints (hang)')
def step_all_cut(context: Context) -> None:
    async def scenario(world: World) -> None:
        for links in watch_all(world).values():
            await links.cut('hang')
        context.answers = [
            await world.ask(f'n-{number % 2}', '/read/a', f'at-{number}')
            for number in range(6)
        ]

    run(context, scenario)


@then('each call is refused within {seconds:d} seconds with a time to retry')
def step_all_refused(context: Context, seconds: int) -> None:
    seen = [(each.status, each.seconds) for each in context.answers]
    assert {status for status, _ in seen} == {UNAVAILABLE}, seen
    assert all('retry-after' in each.headers for each in context.answers)
    assert max(took for _, took in seen) <= seconds, seen

"""Steps for endpoints that fall over when they turn away too many requests."""

from itertools import count

import curio
from behave import then, when
from behave.runner import Context

from support.fleet.scenario import run
from support.fleet.world import World
from turmericyard_http.clock import boot_seconds

#: Time after which the rule holds (stableWindowMs), and how long it is seen
#: to hold, in seconds.
STABLE_SECONDS = 3.0
WATCHED_SECONDS = 5.0
WORK_SECONDS = 0.1
#: Requests that an endpoint runs at a time, and may turn away in a second.
SLOTS = 4
BRITTLE = 3
#: The same while nodes learn of it.
BRITTLE_AT_FIRST = 1_000_000
PROMPT = {
    'x_turmericyard_token_count': '100,20',
    'x_turmericyard_model': 'm',
}


async def keep_asking(
    world: World,
    node: str,
    ends_at: float,
    statuses: list[int],
    target: str = '/write/a',
) -> None:
    for number in count():
        if boot_seconds() >= ends_at or node not in world.nodes:
            return
        attempt = f'{node}-{id(statuses)}-{number}-{boot_seconds()}'
        headers = PROMPT if target.startswith('/stream') else {}
        try:
            answer = await world.ask(
                node, target, attempt, deadline_ms=1500, **headers
            )
        except OSError:
            return
        statuses.append(answer.status)
        wait = float(answer.headers.get('retry-after', 0))
        await curio.sleep(min(wait, 1))


async def overload(
    context: Context,
    world: World,
    service: str,
    target: str,
    clients: int,
    *,
    hub_ends: bool = False,
) -> None:
    """Send more than the endpoints take; they are brittle from the start."""
    for identity, runner in world.runners.items():
        runner.slots = SLOTS
        runner.event_seconds = WORK_SECONDS
        runner.length = 2
        runner.brittle = BRITTLE_AT_FIRST
        world.register(identity, service, slots=SLOTS)
    ends_at = boot_seconds() + STABLE_SECONDS + WATCHED_SECONDS
    context.statuses = []
    tasks = [
        await curio.spawn(
            keep_asking, world, node, ends_at, context.statuses, target
        )
        for node in world.nodes
        for _ in range(clients)
    ]
    await curio.sleep(STABLE_SECONDS)
    served = context.statuses.count(200)
    for runner in world.runners.values():
        runner.brittle = BRITTLE
        runner.turned_away_at.clear()
    if hub_ends:
        await curio.sleep(1)
        await end_hub(world)
    for task in tasks:
        await task.join()
    context.served = context.statuses.count(200) - served
    context.falls = sum(
        len(runner.crashes) for runner in world.runners.values()
    )


async def end_hub(world: World) -> None:
    """End the node that places for all, without notice."""
    first = next(iter(world.nodes.values()))
    hub = world.nodes.pop(first.fleet.hub_choice.names[0])
    for server in hub.servers:
        await server.close()
    await hub.tasks.cancel_all()
    await hub.fleet.mesh.close()


@when(
    'the endpoints are brittle and {clients:d} clients send calls to each node'
)
def step_burst(context: Context, clients: int) -> None:
    async def scenario(world: World) -> None:
        await overload(context, world, 'plain', '/write/a', clients)

    run(context, scenario)


@when(
    'the engines are brittle and {clients:d} clients send generations to each'
    ' node'
)
def step_engines(context: Context, clients: int) -> None:
    async def scenario(world: World) -> None:
        await overload(context, world, 'engines', '/stream/a', clients)

    run(context, scenario)


@when(
    'the endpoints are brittle and the hub ends while {clients:d} clients send'
    ' calls to each node'
)
def step_hub_ends(context: Context, clients: int) -> None:
    async def scenario(world: World) -> None:
        await overload(
            context, world, 'plain', '/write/a', clients, hub_ends=True
        )

    run(context, scenario)


@when('all answers of the endpoints say that they are brittle as "{text}"')
@when('all answers of the endpoints say that they are brittle as ""')
def step_odd_header(context: Context, text: str = '') -> None:
    async def scenario(world: World) -> None:
        for runner in world.runners.values():
            runner.brittle_text = text.encode()
        await ask_some(context, world)

    run(context, scenario)


async def ask_some(context: Context, world: World) -> None:
    context.statuses = []
    for number in range(20):
        answer = await world.ask(f'n-{number % 2}', '/read/a', f'some-{number}')
        context.statuses.append(answer.status)
    context.brittle = [
        endpoint.identity
        for node in world.nodes.values()
        for endpoint in node.platform_state.registry.endpoints.values()
        if endpoint.is_brittle
    ]


@when('the endpoints are brittle and after 3 seconds no longer say so')
def step_no_longer(context: Context) -> None:
    async def scenario(world: World) -> None:
        for runner in world.runners.values():
            runner.brittle = BRITTLE
        await ask_some(context, world)
        assert context.brittle
        await curio.sleep(STABLE_SECONDS)
        for runner in world.runners.values():
            runner.brittle = None
        await ask_some(context, world)
        await curio.sleep(1)
        await ask_some(context, world)

    run(context, scenario)


@then('no endpoint counts as brittle and each call was served')
def step_not_brittle(context: Context) -> None:
    assert not context.brittle, context.brittle
    assert set(context.statuses) == {200}, context.statuses


@then('no more than {most:d} endpoints fall over')
def step_falls(context: Context, most: int) -> None:
    assert context.falls <= most, context.falls


@then('calls are served as fast as half of the slots allow')
def step_fast(context: Context) -> None:
    full = 3 * SLOTS / WORK_SECONDS * WATCHED_SECONDS
    assert context.served >= full / 2, (context.served, full)

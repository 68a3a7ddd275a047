"""Steps for the places that hubs grant."""

from collections import Counter
from typing import Any

import curio
from behave import then, when
from behave.runner import Context
from hypothesis import given as given_drawn
from hypothesis import seed, settings
from hypothesis import strategies as drawn

from support.fleet.scenario import PROMPT, run
from support.fleet.world import World
from turmericyard_node.forwarding.endpoint_evidence import FleetEvidence
from turmericyard_node.forwarding.hub import GRANT_SECONDS, create_hub
from turmericyard_node.forwarding.hub_choice import HUBS
from turmericyard_node.forwarding.load_tracker import LoadTotal
from turmericyard_protocol.fleet_messages import (
    CopyPlaceRequest,
    EndpointUse,
    FleetBeat,
)

SEED = 1
HANG_SECONDS = 1000


@when(
    'a hub is asked to place {count:d} copies of {tokens:d} tokens from one'
    ' engine'
)
def step_copies(context: Context, count: int, tokens: int) -> None:
    async def scenario(world: World) -> None:
        fleet = world.nodes['n-0'].fleet
        need = CopyPlaceRequest('engines', 'a', tokens, False, ('i-0',))
        replies = [
            await fleet.answer_copy_place(need, 'n-1') for _ in range(count)
        ]
        context.chosen = [reply.endpoint for reply in replies]

    run(context, scenario)


@then('each of the other engines was chosen {count:d} times')
def step_shared(context: Context, count: int) -> None:
    chosen = Counter(filter(None, context.chosen))
    assert chosen == dict.fromkeys(('i-1', 'i-2', 'i-3'), count), chosen


@then('the last copy was not placed')
def step_full(context: Context) -> None:
    assert not context.chosen[-1]


@when('a client requests a stream while the first hub answers no peer')
def step_mute_hub(context: Context) -> None:
    async def scenario(world: World) -> None:
        choice = world.nodes['n-0'].fleet.hub_choice
        await world.until(lambda: len(choice.names) == HUBS)
        asker = next(name for name in world.nodes if name not in choice.names)
        first, context.second = choice.names

        async def hang(_payload: Any, _sender: str) -> None:
            await curio.sleep(HANG_SECONDS)

        world.nodes[first].fleet.mesh.receiver = hang
        context.answer = await world.ask(asker, '/stream/a', 'at-1', **PROMPT)
        context.granted = len(world.nodes[context.second].fleet.hub.open_grants)

    run(context, scenario)


@then('the second hub had placed it')
def step_second(context: Context) -> None:
    assert context.answer.whole, context.answer.error
    assert context.granted == 1, context.granted


USES = drawn.builds(
    EndpointUse,
    drawn.sampled_from(('e-1', 'e-2', 'e-3')),
    *[drawn.integers(0, 3) for _ in range(5)],
)
STEPS = drawn.lists(
    drawn.tuples(
        drawn.sampled_from(('heartbeat', 'silence', 'grant', 'time')),
        drawn.sampled_from(('n-1', 'n-2')),
        drawn.lists(USES, max_size=3),
    ),
    max_size=20,
)


def total_of(uses: list[EndpointUse]) -> dict[str, LoadTotal]:
    found: dict[str, LoadTotal] = {}
    for use in uses:
        found.setdefault(use.identity, LoadTotal()).count(use, 1)
    return {key: total for key, total in found.items() if total != LoadTotal()}


@when(
    '{count:d} random histories of heartbeats, silences and grants reach a hub'
)
def step_histories(context: Context, count: int) -> None:
    context.histories = 0

    def play(steps: list[Any]) -> None:
        now = 0.0
        hub = create_hub(
            None,
            None,
            None,
            lambda: now,
            FleetEvidence(lambda: now, lambda _: 0.2),
        )
        reported: dict[str, list[EndpointUse]] = {}
        open_grants: list[tuple[float, EndpointUse]] = []
        for kind, node, uses in steps:
            if kind == 'heartbeat':
                hub.record_heartbeat(
                    node, 'a', FleetBeat(0, 0, True, tuple(uses), ())
                )
                reported[node] = uses
            elif kind == 'silence':
                hub.forget(node)
                reported.pop(node, None)
            elif kind == 'grant' and uses:
                hub.grant(uses[0])
                open_grants.append((now + GRANT_SECONDS, uses[0]))
            elif kind == 'time':
                now += GRANT_SECONDS
                hub.expire_grants()
                open_grants = [each for each in open_grants if each[0] >= now]
            expected = [use for each in reported.values() for use in each]
            expected.extend(use for _, use in open_grants)
            assert hub.peer_totals == total_of(expected), (
                hub.peer_totals,
                expected,
            )
        context.histories += 1

    checked = settings(max_examples=count, deadline=None, database=None)
    seed(SEED)(checked(given_drawn(STEPS)(play)))()


@then('its totals were always those of the last heartbeats and open grants')
def step_sums(context: Context) -> None:
    assert context.histories >= 100

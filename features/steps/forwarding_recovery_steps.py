"""Steps for nodes that come back all at once, as real processes."""

from random import Random

import curio
from behave import given, then, when
from behave.runner import Context

from support.fleet_soak.load import Clients
from support.fleet_soak.soak import recover
from support.fleet_soak.stage import open_stage

#: Runners of each service.
RUNNERS = 2
#: Time in which calls are counted after the store's return, in seconds.
COUNTED_SECONDS = 5


@given('{count:d} forwarding nodes as processes')
def step_nodes(context: Context, count: int) -> None:
    context.count = count


@when(
    'all are killed while the store is {trouble} and start again'
    ' {seconds:d} seconds before it returns'
)
def step_killed(context: Context, trouble: str, seconds: int) -> None:
    async def scenario() -> None:
        stage = await open_stage(context.launcher, context.count, RUNNERS)
        try:
            stage.store.mode = trouble
            for node in stage.nodes.values():
                node.kill()
            stage.store.calls.clear()
            for node in stage.nodes.values():
                node.start()
            await curio.sleep(seconds)
            context.away_rate = len(stage.store.calls) / seconds / context.count
            stage.store.mode = ''
            stage.store.calls.clear()
            probing = await curio.spawn(recover, Clients(stage, Random(1)))
            await curio.sleep(COUNTED_SECONDS)
            calls = len(stage.store.calls)
            context.back_rate = calls / COUNTED_SECONDS / context.count
            context.recovered = await probing.join()
        finally:
            await stage.close()

    curio.run(scenario)


@then(
    'each node made at most {most:d} calls a second to the store while it was'
    ' away'
)
def step_away(context: Context, most: int) -> None:
    assert context.away_rate <= most, context.away_rate


@then(
    'each node made at most {most:d} calls a second in the 5 seconds after it'
    ' returned'
)
def step_back(context: Context, most: int) -> None:
    assert context.back_rate <= most, context.back_rate


@then(
    'every node served all kinds of requests within {seconds:d} seconds of'
    ' its return'
)
def step_recovered(context: Context, seconds: int) -> None:
    assert max(context.recovered.values()) <= seconds, context.recovered

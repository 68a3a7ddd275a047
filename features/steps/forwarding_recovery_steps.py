"""Steps for nodes that restart at the same time, as real processes."""

from random import Random

import curio
from behave import given, then, when
from behave.runner import Context

from support.fleet_soak.load import Clients
from support.fleet_soak.soak import recover
from support.fleet_soak.stage import open_stage

#: Number of runners of each service.
RUNNERS = 2
#: Time for which calls are counted after the store's recovery, in seconds.
COUNTED_SECONDS = 5


@given('{count:d} forwarding nodes as processes')
def step_nodes(context: Context, count: int) -> None:
    context.count = count


@when(
    'all are killed while the store is {trouble} and restart'
    ' {seconds:d} seconds before it recovers'
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
            context.outage_rate = (
                len(stage.store.calls) / seconds / context.count
            )
            stage.store.mode = ''
            stage.store.calls.clear()
            probing = await curio.spawn(recover, Clients(stage, Random(1)))
            await curio.sleep(COUNTED_SECONDS)
            calls = len(stage.store.calls)
            context.recovery_rate = calls / COUNTED_SECONDS / context.count
            context.recovered = await probing.join()
        finally:
            await stage.close()

    curio.run(scenario)


@then(
    'each node made at most {most:d} calls a second to the store during its'
    ' outage'
)
def step_outage_rate(context: Context, most: int) -> None:
    assert context.outage_rate <= most, context.outage_rate


@then(
    'each node made at most {most:d} calls a second in the 5 seconds after it'
    ' recovered'
)
def step_recovery_rate(context: Context, most: int) -> None:
    assert context.recovery_rate <= most, context.recovery_rate


@then(
    'every node served all kinds of requests within {seconds:d} seconds of'
    ' its recovery'
)
def step_recovered(context: Context, seconds: int) -> None:
    assert max(context.recovered.values()) <= seconds, context.recovered

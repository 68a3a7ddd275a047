"""Steps for the graceful shutdown of nodes, over processes."""

import time

from behave import then, when
from behave.runner import Context

from turmericyard_bench.caller import LOST

EXIT_TIMEOUT_SECONDS = 40


@when('every node is sent SIGTERM in turn, exits and is started again')
def step_rolling(context: Context) -> None:
    for name, node in context.deployment.nodes.items():
        node.process.terminate()
        assert node.process.wait(EXIT_TIMEOUT_SECONDS) == 0, name
        context.deployment.restart_node(name)


@when('node "{name}" is sent SIGTERM twice and exits')
def step_twice(context: Context, name: str) -> None:
    process = context.deployment.nodes[name].process
    process.terminate()
    time.sleep(0.5)
    process.terminate()
    assert process.wait(EXIT_TIMEOUT_SECONDS) == 0


@then("no caller's connection was cut")
def step_not_cut(context: Context) -> None:
    record = context.load.stop()
    cut = [each.name for each in record.streams if each.breaks]
    lost = [
        f'{verdict.request}: {verdict.kind}'
        for verdict in record.verdicts()
        if verdict.outcome == LOST
    ]
    assert not cut, cut
    assert not lost, lost
    assert any(each.whole for each in record.streams)

"""Steps for the child processes of bench commands."""

import signal
import time
from pathlib import Path

from behave import then, when
from behave.runner import Context

from turmericyard_bench.experiments.runs import OWN, RunSpec, run_all
from turmericyard_bench.launch import RunningProcess

BENCH = 'turmericyard_bench'
EXPERIMENT = ('experiment', 'mixed', '--policy', OWN, '--seeds', '4')
#: Least number of processes among the workers and their resource tracker.
WORKER_CHILDREN = 2
#: At least a store, a VM list, 3 nodes, 6 engines and plain services.
BENCH_CHILDREN = 12
SECONDS = 30
PAUSE_SECONDS = 0.05


def children(process: RunningProcess) -> list[int]:
    pid = process.popen.pid
    listed = Path(f'/proc/{pid}/task/{pid}/children')
    return [int(word) for word in listed.read_text().split()]


def is_running(pid: int) -> bool:
    try:
        state = Path(f'/proc/{pid}/stat').read_text().rpartition(')')[2]
    except (FileNotFoundError, ProcessLookupError):
        return False
    return state.split()[0] != 'Z'


def interrupt(
    context: Context, arguments: tuple[str, ...], count: int, name: str
) -> None:
    process = context.launcher.start('bench', BENCH, arguments)
    ends_at = time.monotonic() + SECONDS
    while len(children(process)) < count:
        assert time.monotonic() < ends_at, process.log.read_text()
        time.sleep(PAUSE_SECONDS)
    context.children = children(process)
    process.signal(signal.Signals[name])
    assert process.wait(SECONDS) is not None


@when('an experiment with 2 workers receives {name}')
def step_experiment(context: Context, name: str) -> None:
    arguments = (*EXPERIMENT, '--processes', '2')
    interrupt(context, arguments, WORKER_CHILDREN, name)


@when('a benchmark with nodes and engines receives {name}')
def step_bench(context: Context, name: str) -> None:
    interrupt(context, ('bench', 'permit'), BENCH_CHILDREN, name)


@then('none of its child processes is still running')
def step_none_left(context: Context) -> None:
    ends_at = time.monotonic() + SECONDS
    left = context.children
    while left and time.monotonic() < ends_at:
        left = [pid for pid in left if is_running(pid)]
        time.sleep(PAUSE_SECONDS)
    assert not left, left


@then('runs with seeds 1 to 3 give the same figures with 1 and with 2 workers')
def step_same(context: Context) -> None:
    specs = [RunSpec('quick-alone', 'vodnik', OWN, seed) for seed in (1, 2, 3)]
    assert run_all(specs, 1) == run_all(specs, 2)

"""Measures the processor time of the start of a forwarding node.

The nodes of a fleet start all at once, on small machines, and the outage lasts
as long as this time. It is compared with the start of the interpreter alone,
so that the figure also holds on slower and on busy machines.
"""

import os
import resource
import subprocess
import sys
from collections import defaultdict
from operator import itemgetter

from turmericyard_bench.costs.figures import Bound, Figure

#: Processor time within which a node is to serve, in seconds.
TARGET_SECONDS = 0.2
#: Processor time of the start of the interpreter alone, in seconds, on the
#: machine for which the target was stated.
INTERPRETER_SECONDS = 0.016
STARTS = 9
#: Number of slowest packages named in the detail of the figure.
MAX_LISTED_PACKAGES = 6
EMPTY_PROGRAM = 'pass'
NODE_PROGRAM = (
    'from turmericyard_node.deferred_imports import defer_imports\n'
    'defer_imports()\n'
    'import turmericyard_node.forwarding.command\n'
)


def start_figures() -> list[Figure]:
    """Return the cost of a start, as a multiple of an interpreter start."""
    interpreter = processor_seconds(EMPTY_PROGRAM)
    node = processor_seconds(NODE_PROGRAM)
    slowest = ', '.join(
        f'{package} {milliseconds:.0f} ms'
        for package, milliseconds in slowest_packages()
    )
    return [
        Figure(
            'start of a forwarding node',
            'interpreter starts',
            Bound.AT_MOST,
            TARGET_SECONDS / INTERPRETER_SECONDS,
            node / interpreter,
            detail=f'{node:.3f} s; once, with tracing: {slowest}',
        )
    ]


def processor_seconds(program: str) -> float:
    """Return the least processor time of several runs, in seconds."""
    times = []
    for _ in range(STARTS):
        before = resource.getrusage(resource.RUSAGE_CHILDREN)
        run(program)
        after = resource.getrusage(resource.RUSAGE_CHILDREN)
        times.append(
            after.ru_utime + after.ru_stime - before.ru_utime - before.ru_stime
        )
    return min(times)


def run(program: str, *options: str) -> subprocess.CompletedProcess[str]:
    """Run a program without site packages, as deploy/system.toml does."""
    return subprocess.run(
        (sys.executable, '-S', *options, '-c', program),
        check=True,
        capture_output=True,
        text=True,
        env={**os.environ, 'PYTHONPATH': os.pathsep.join(sys.path)},
    )


def slowest_packages() -> list[tuple[str, float]]:
    """Return the packages slowest to import, with milliseconds of each."""
    traced = run(NODE_PROGRAM, '-X', 'importtime')
    package_ms: defaultdict[str, float] = defaultdict(float)
    for line in traced.stderr.splitlines():
        self_micros, _, rest = line.removeprefix('import time:').partition('|')
        name = rest.rpartition('|')[2].strip()
        if self_micros.strip().isdigit():
            package_ms[name.partition('.')[0]] += int(self_micros) / 1000
    slowest = sorted(package_ms.items(), key=itemgetter(1), reverse=True)
    return slowest[:MAX_LISTED_PACKAGES]

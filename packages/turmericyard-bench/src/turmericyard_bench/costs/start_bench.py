"""What the start of a forwarding node costs, in processor time.

Fleets start all at once on small machines: this time is the outage. It is
compared with the interpreter's own start, so that the figure holds on slower
and on busy machines too.
"""

import os
import resource
import subprocess
import sys
from collections import defaultdict
from operator import itemgetter

from turmericyard_bench.costs.figures import Bound, Figure

#: Processor time in which a node is to serve, in seconds.
TARGET_SECONDS = 0.2
#: The interpreter's own start on the machine for which the target was stated,
#: in seconds.
INTERPRETER_SECONDS = 0.016
STARTS = 9
#: Groups of modules that are named in the figure's detail.
GROUPS_NAMED = 6
NOTHING = 'pass'
NODE = (
    'from turmericyard_node.deferred_imports import defer_imports\n'
    'defer_imports()\n'
    'import turmericyard_node.forwarding.command\n'
)


def start_figures() -> list[Figure]:
    """Return the cost of a start, in starts of the interpreter alone."""
    interpreter = processor_seconds(NOTHING)
    node = processor_seconds(NODE)
    slowest = ', '.join(
        f'{group} {milliseconds:.0f} ms'
        for group, milliseconds in module_groups()
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
    """Return the least processor time of some runs of a program."""
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
    """Run a program as deploy/system.toml does: without site packages."""
    return subprocess.run(
        (sys.executable, '-S', *options, '-c', program),
        check=True,
        capture_output=True,
        text=True,
        env={**os.environ, 'PYTHONPATH': os.pathsep.join(sys.path)},
    )


def module_groups() -> list[tuple[str, float]]:
    """Return the packages whose modules take longest, in milliseconds."""
    traced = run(NODE, '-X', 'importtime')
    groups: defaultdict[str, float] = defaultdict(float)
    for line in traced.stderr.splitlines():
        own, _, rest = line.removeprefix('import time:').partition('|')
        name = rest.rpartition('|')[2].strip()
        if own.strip().isdigit():
            groups[name.partition('.')[0]] += int(own) / 1000
    slowest = sorted(groups.items(), key=itemgetter(1), reverse=True)
    return slowest[:GROUPS_NAMED]

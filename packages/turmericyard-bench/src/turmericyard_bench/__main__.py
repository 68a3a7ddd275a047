"""Command line of the package: `python -m turmericyard_bench COMMAND`.

A command is imported only when it is used, since some commands need
libraries that take long to import.
"""

from collections.abc import Mapping
from importlib import import_module

import click

from turmericyard_bench.workers import unwind_on_signals

#: Module and attribute of each command.
COMMANDS: Mapping[str, str] = {
    'bench': 'turmericyard_bench.costs.bench_command:command',
    'capacity': 'turmericyard_bench.costs.capacity_command:command',
    'experiment': 'turmericyard_bench.experiments.command:command',
    'load': 'turmericyard_bench.load.command:command',
}


class LazyGroup(click.Group):
    """A group whose commands are imported when they are used."""

    def list_commands(self, ctx: click.Context) -> list[str]:
        """Return the names of all commands."""
        return sorted(COMMANDS)

    def get_command(
        self, ctx: click.Context, cmd_name: str
    ) -> click.Command | None:
        """Import and return the command of a name, None for an unknown one."""
        location = COMMANDS.get(cmd_name)
        if location is None:
            return None
        module, _, attribute = location.partition(':')
        found = getattr(import_module(module), attribute)
        return found if isinstance(found, click.Command) else None


main = LazyGroup(
    'turmericyard_bench',
    callback=unwind_on_signals,
    help='Load, experiments and benchmarks of the serving system.',
)

if __name__ == '__main__':
    main(prog_name='python -m turmericyard_bench')

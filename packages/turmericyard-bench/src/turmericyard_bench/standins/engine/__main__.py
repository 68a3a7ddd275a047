"""Command that runs one engine stand-in."""

from functools import partial
from typing import Any

import click
import curio

from turmericyard_bench.engine.shape import EngineShape
from turmericyard_bench.standins.engine.application import EngineApplication
from turmericyard_bench.standins.engine.control import EngineControl
from turmericyard_bench.standins.engine.protocol import EngineProtocol
from turmericyard_bench.standins.engine.settings import (
    StandInSettings,
    scaled_shape,
)
from turmericyard_bench.standins.process import handle_control
from turmericyard_http.server import listener_port, open_listener, serve_http

DEFAULT_SHAPE = EngineShape()
SHAPE_OPTIONS = (
    click.Option(
        ['--cold-limit'],
        default=DEFAULT_SHAPE.cold_limit,
        help='Capacity while cold, in requests.',
    ),
    click.Option(
        ['--limit'],
        default=DEFAULT_SHAPE.limit,
        help='Requests that run at once.',
    ),
    click.Option(
        ['--memory-tokens'],
        default=DEFAULT_SHAPE.memory_tokens,
        help='Memory for tokens.',
    ),
    click.Option(
        ['--down-seconds'],
        default=DEFAULT_SHAPE.down_seconds,
        help='Time down after a crash.',
    ),
)
SETTINGS_OPTIONS = (
    click.Option(['--name'], default='engine', help='Prefix of restart ids.'),
    click.Option(
        ['--port'], default=0, help='Protocol port; 0 takes any free one.'
    ),
    click.Option(
        ['--control-port'], default=0, help='Port for faults and ledger.'
    ),
    click.Option(['--seed'], default=0, help='Seed of output lengths.'),
    click.Option(
        ['--model'], default='report-model', help='Model that it runs.'
    ),
    click.Option(['--version'], default='1', help='Version of the model.'),
    click.Option(['--adapters'], multiple=True, help='Loaded adapter.'),
    click.Option(
        ['--start-warm'], is_flag=True, help='Start warm instead of cold.'
    ),
    click.Option(
        ['--fencing/--no-fencing', 'checks_fencing'],
        default=True,
        help='Whether orders with an old fencing number are refused.',
    ),
    click.Option(['--grace-seconds'], default=10, type=float),
    click.Option(['--weights-seconds'], default=1, type=float),
    click.Option(
        ['--weights-store'], default='', help='Address of the weights store.'
    ),
    click.Option(['--lag-seconds'], default=1, type=float),
)
SCALE_OPTION = click.Option(
    ['--step-scale'], default=1, type=float, help='Factor on step times.'
)


async def run(settings: StandInSettings) -> None:
    """Serve until the process stops; prints both ports when ready."""
    application = EngineApplication(settings)
    protocol = EngineProtocol(application)
    await application.open(protocol.handle)
    control_listener = open_listener(settings.host, settings.control_port)
    control_port = listener_port(control_listener)
    click.echo(f'ready {application.port} {control_port}')
    async with curio.TaskGroup() as group:
        await group.spawn(application.run_model)
        await group.spawn(application.run_housekeeping)
        control = EngineControl(application, protocol)
        await group.spawn(
            serve_http, control_listener, partial(handle_control, control)
        )


def start(step_scale: float, **options: Any) -> None:
    """Run one engine stand-in until the process stops."""
    shape_names = {option.name for option in SHAPE_OPTIONS}
    shape = EngineShape(
        **{name: options.pop(name) for name in shape_names if name}
    )
    settings = StandInSettings(shape=scaled_shape(shape, step_scale), **options)
    curio.run(run, settings)


main = click.Command(
    'engine',
    params=[*SETTINGS_OPTIONS, *SHAPE_OPTIONS, SCALE_OPTION],
    callback=start,
    help='Run one engine stand-in; prints `ready PORT CONTROL_PORT`.',
)

if __name__ == '__main__':
    main()

"""Runs the process of a forwarding node."""

import gc
import signal
import sys
from importlib import import_module

import curio
from returns.result import Success

from turmericyard_node.forwarding.application import ForwardingApplication
from turmericyard_node.forwarding.assembly import create_forwarding
from turmericyard_node.forwarding.log_output import write_logs_to
from turmericyard_node.forwarding.options import read_options
from turmericyard_node.signals import STOP_SIGNALS, watch_signals
from turmericyard_ports.border import PlatformAdapter

EXIT_SETTINGS = 2
EXIT_ADDRESS = 3


def run(adapter: str) -> None:
    """Run one node with the adapter package until SIGTERM."""
    platform_adapter: PlatformAdapter = import_module(adapter).create_border()
    read = platform_adapter.read_settings()
    if not isinstance(read, Success):
        print(read.failure(), file=sys.stderr)
        sys.exit(EXIT_SETTINGS)
    options = read_options()
    if not isinstance(options, Success):
        print(options.failure(), file=sys.stderr)
        sys.exit(EXIT_SETTINGS)
    write_logs_to(sys.stdout.fileno())
    application = create_forwarding(
        read.unwrap(), platform_adapter, options.unwrap()
    )
    freeze_start_objects()
    try:
        curio.run(serve, application)
    except OSError as error:
        print(f'{error}: free the addresses in the settings', file=sys.stderr)
        sys.exit(EXIT_ADDRESS)


def freeze_start_objects() -> None:
    """Exclude the objects that exist at the start from garbage collection.

    On a small machine a full collection over all imported modules blocks the
    event loop for longer than a stream may pause.
    """
    gc.collect()
    gc.freeze()


async def serve(application: ForwardingApplication) -> None:
    """Start, handle signals and stop at the first stop signal.

    The settings are read again first, since they may have changed before
    signals were handled.
    """
    wakeup = watch_signals((*STOP_SIGNALS, signal.SIGHUP))
    application.discovery.refresh_seeds()
    await application.start()
    async with wakeup:
        while (await wakeup.recv(1))[0] == signal.SIGHUP:
            application.discovery.refresh_seeds()
    await application.stop()

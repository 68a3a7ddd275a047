"""Runs a node that forwards requests on a platform."""

import gc
import signal
import sys
from importlib import import_module

import curio
from returns.result import Success

from turmericyard_node.forwarding.application import ForwardingApplication
from turmericyard_node.forwarding.assembly import create_forwarding
from turmericyard_node.forwarding.log_output import log_to
from turmericyard_node.signals import STOP_SIGNALS, watch_signals
from turmericyard_ports.border import Border

EXIT_SETTINGS = 2
EXIT_ADDRESS = 3


def run(adapter: str) -> None:
    """Run one node with the adapter package until SIGTERM."""
    border: Border = import_module(adapter).create_border()
    read = border.read_settings()
    if not isinstance(read, Success):
        print(read.failure(), file=sys.stderr)
        sys.exit(EXIT_SETTINGS)
    log_to(sys.stdout.fileno())
    application = create_forwarding(read.unwrap(), border)
    keep_start_objects()
    try:
        curio.run(serve, application)
    except OSError as error:
        print(f'{error}: free the addresses in the settings', file=sys.stderr)
        sys.exit(EXIT_ADDRESS)


def keep_start_objects() -> None:
    """Leave what exists at the start out of garbage collection.

    A full collection over all imported modules stops the loop for longer than
    a stream may pause on a small machine.
    """
    gc.collect()
    gc.freeze()


async def serve(application: ForwardingApplication) -> None:
    """Start, follow signals and end at the first stop signal.

    Settings that changed before signals were followed are taken over first.
    """
    wakeup = watch_signals((*STOP_SIGNALS, signal.SIGHUP))
    application.discovery.refresh_seeds()
    await application.start()
    async with wakeup:
        while (await wakeup.recv(1))[0] == signal.SIGHUP:
            application.discovery.refresh_seeds()
    await application.stop()

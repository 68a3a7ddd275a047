"""Starts a node with an adapter, loading as little as possible.

All nodes of a fleet may start at the same moment on small machines, where the
imports determine the time to the first answer.
"""

import signal
from importlib import import_module

from turmericyard_node.deferred_imports import defer_imports


def launch(adapter: str) -> None:
    """Run one node with the adapter package until SIGTERM."""
    # The platform may announce new settings while the node starts; the node
    # reads them again once it handles signals.
    signal.signal(signal.SIGHUP, signal.SIG_IGN)
    defer_imports()
    import_module('turmericyard_node.forwarding.command').run(adapter)

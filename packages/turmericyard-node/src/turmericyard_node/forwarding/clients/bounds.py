"""The bounds of a node's listeners, from its settings and options."""

import socket as system_socket
from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass, field
from enum import Enum
from functools import partial
from typing import Any

import curio
from msgspec.structs import replace

from turmericyard_http.answer_writer import Limits
from turmericyard_http.clock import Clock, boot_seconds
from turmericyard_http.connection import ClientConnection, Connect
from turmericyard_http.intake.account import MemoryAccount, Reason
from turmericyard_http.intake.gate import (
    Intake,
    IntakeLimits,
    account_bytes,
    connection_bound,
)
from turmericyard_http.intake.watch import INTERVAL_SECONDS, ConnectionWatch
from turmericyard_http.response_bodies import create_bodies
from turmericyard_node.events import Event, log_event
from turmericyard_node.forwarding.options import ClientOptions
from turmericyard_node.forwarding.platform_state import PlatformState
from turmericyard_node.forwarding.runs import RunRegistry
from turmericyard_ports.configuration import ClientLimits
from turmericyard_ports.settings import ForwardingSettings

#: Time beyond the clients' own limit for which a connection may idle, so that
#: the node does not close it under a request.
IDLE_MARGIN_SECONDS = 5.0
#: Time for which bytes to a client may stay unacknowledged, in seconds.
CLIENT_TIMEOUT_SECONDS = 8.0
#: Longest body of a request about the node itself; none of them has one.
STATUS_BODY_BYTES = 65_536
#: Time between two log events about one reason, in seconds.
LOG_SECONDS = 10.0
#: Limits while there is no configuration.
DEFAULTS = ClientLimits()

ReadLimits = Callable[[], ClientLimits]


class Listener(Enum):
    """The HTTP listeners of a node; each has its own bound on connections."""

    CALLERS = 'callers'
    READINESS = 'readiness'
    CONTROL = 'control'
    DIRECTORY = 'directory'
    METRICS = 'metrics'


@dataclass(slots=True)
class ClientBounds:
    """Bounds of all listeners of a node, with one memory account.

    `read_limits` returns the limits of the configuration in force.
    """

    account: MemoryAccount
    intakes: dict[Listener, Intake]
    options: ClientOptions
    read_limits: ReadLimits
    #: Returns the sockets of endpoints whose input waits for clients.
    endpoint_sockets: Callable[[], list[Any]] = list
    clock: Clock = boot_seconds
    #: Rejections by reason at the last log event about them, and its time.
    logged: Counter[Reason] = field(default_factory=Counter)
    logged_at: dict[Reason, float] = field(default_factory=dict)

    def http_limits(self, listener: Listener) -> Limits:
        """Return the limits of new connections of a listener."""
        if listener is not Listener.CALLERS:
            return Limits(body_bytes=STATUS_BODY_BYTES)
        limits = self.read_limits()
        # A shorter idle time of the configuration is what clients keep to;
        # a body may need the longer one to arrive.
        idle_seconds = max(DEFAULTS.idle_seconds, limits.idle_seconds)
        return Limits(
            given_or(limits.header_bytes, DEFAULTS.header_bytes),
            given_or(limits.body_bytes, DEFAULTS.body_bytes),
            idle_seconds + IDLE_MARGIN_SECONDS,
            watch_client=True,
            user_timeout_seconds=CLIENT_TIMEOUT_SECONDS,
        )

    async def run(self) -> None:
        """Watch all connections and log what reached a bound."""
        watch = ConnectionWatch(
            self.account,
            tuple(self.intakes.values()),
            self.clock,
            self.endpoint_sockets,
        )
        while True:
            await curio.sleep(INTERVAL_SECONDS)
            self.allow_head_seconds(self.read_limits().head_seconds)
            await watch.look()
            self.log_rejections()

    def allow_head_seconds(self, seconds: float) -> None:
        """Give clients the time for a head that the configuration names."""
        intake = self.intakes[Listener.CALLERS]
        allowed = max(seconds, self.options.head_seconds)
        if allowed != intake.limits.head_seconds:
            intake.limits = replace(intake.limits, head_seconds=allowed)

    def log_rejections(self) -> None:
        """Log one event for each reason, at most every `LOG_SECONDS`."""
        now = self.clock()
        for reason, count in self.account.rejections.items():
            new = count - self.logged[reason]
            if new and now >= self.logged_at.get(reason, 0) + LOG_SECONDS:
                self.logged[reason] = count
                self.logged_at[reason] = now
                log_event(
                    Event.CLIENTS_BOUNDED,
                    reason=reason.value,
                    count=new,
                    used={
                        kind.value: size
                        for kind, size in self.account.used.items()
                    },
                    bound=self.account.bound,
                )


def create_client_bounds(
    settings: ForwardingSettings,
    options: ClientOptions,
    platform_state: PlatformState,
) -> ClientBounds:
    """Return the bounds that follow from the limits of the process.

    Without these the times hold and nothing else is bounded.
    """
    account = MemoryAccount(account_bytes(settings.memory_bytes))
    bound = connection_bound(settings.memory_bytes, settings.descriptors)
    if bound and options.connections:
        bound = min(bound, options.connections)
    receive_buffer_bytes = options.receive_buffer_bytes if account.bound else 0
    intakes = {
        listener: Intake(
            IntakeLimits(
                min(bound, options.status_connections),
                options.head_seconds,
                options.stall_seconds,
                receive_buffer_bytes,
                closes_idle=True,
            ),
            account,
        )
        for listener in Listener
    }
    intakes[Listener.CALLERS].limits = IntakeLimits(
        bound,
        options.head_seconds,
        options.stall_seconds,
        receive_buffer_bytes,
    )
    return ClientBounds(
        account, intakes, options, partial(configured_limits, platform_state)
    )


def given_or(limit: int, default: int) -> int:
    """Return a configured limit, or the default in place of an absurd one."""
    return limit if limit > 0 else default


def configured_limits(platform_state: PlatformState) -> ClientLimits:
    """Return the limits of the configuration in force."""
    table = platform_state.route_table
    return DEFAULTS if table is None else table.configuration.limits


def bound_endpoints(application: Any) -> None:
    """Bound what endpoints make the node hold, and count it.

    Connections to them have a fixed receive buffer where memory has a bound.
    """
    bounds = application.client_bounds
    fleet = application.fleet
    fleet.paths.bodies = create_bodies(
        application.settings.memory_bytes, bounds.account
    )
    if not bounds.account.bound:
        return
    size = bounds.options.endpoint_buffer_bytes
    for owner in (fleet.paths, fleet.tunnels):
        owner.dial = partial(dial_bounded, owner.dial, size)
    bounds.endpoint_sockets = partial(
        stream_sockets, application.run_copier.run_registry
    )


async def dial_bounded(
    dial: Connect, size: int, address: str, user_timeout_seconds: float = 0
) -> ClientConnection:
    """Return a new connection with a fixed receive buffer; raises OSError."""
    connection = await dial(address, user_timeout_seconds)
    connection.sock.setsockopt(
        system_socket.SOL_SOCKET, system_socket.SO_RCVBUF, size
    )
    return connection


def stream_sockets(run_registry: RunRegistry) -> list[Any]:
    """Return the sockets of the streams that the node relays.

    Those of tunnels through peers are left out: they carry messages.
    """
    sockets = [run.response.connection.sock for run in run_registry.runs]
    return [sock for sock in sockets if hasattr(sock, 'getsockopt')]

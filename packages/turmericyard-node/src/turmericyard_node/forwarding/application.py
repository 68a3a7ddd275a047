"""The forwarding application: owns its parts and their life cycle."""

from collections import deque
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field
from functools import partial

import curio

from turmericyard_http.clock import Clock
from turmericyard_http.exchange import Handler
from turmericyard_http.server import HttpServer, open_listener
from turmericyard_http.tasks import BackgroundTasks
from turmericyard_node.contact import ContactTimes
from turmericyard_node.events import Event, log_event
from turmericyard_node.forwarding.clients.bounds import (
    ClientBounds,
    Listener,
)
from turmericyard_node.forwarding.discovery import Discovery
from turmericyard_node.forwarding.endpoint_poll import EndpointPoll
from turmericyard_node.forwarding.endpoint_registry import Endpoint
from turmericyard_node.forwarding.fleet import Fleet
from turmericyard_node.forwarding.follow import Follower
from turmericyard_node.forwarding.moves import RunCopier
from turmericyard_node.forwarding.node_status import NodeStatusHandler
from turmericyard_node.forwarding.options import NodeOptions
from turmericyard_node.forwarding.platform_state import PlatformState
from turmericyard_node.forwarding.request_handler import (
    PlannedStop,
    RequestHandler,
)
from turmericyard_node.forwarding.rollout.rollouts import Rollouts
from turmericyard_node.forwarding.stalls import StallWatch
from turmericyard_node.forwarding.waiting import WaitingRoom
from turmericyard_ports.border import PlatformAdapter
from turmericyard_ports.settings import ForwardingSettings

#: Time without a new request after which a draining node stops, in seconds.
IDLE_SECONDS = 0.5
#: Time for which a draining node still accepts requests, in seconds: clients
#: keep its address that long.
LEAVE_SECONDS = 2.5
#: Part of the grace period that is reserved for finishing the last answers, in
#: seconds.
FINISH_SECONDS = 0.8
#: Time in which an answer is written after its request's deadline, in seconds.
ANSWER_SECONDS = 0.1
#: Pause before a failed loop runs again, in seconds.
RESTART_SECONDS = 0.2

Loop = Callable[[], Awaitable[None]]


@dataclass(slots=True)
class ForwardingApplication:
    """One node of a fleet that forwards requests."""

    settings: ForwardingSettings
    platform_adapter: PlatformAdapter
    clock: Clock
    contact: ContactTimes
    platform_state: PlatformState
    follower: Follower
    fleet: Fleet
    discovery: Discovery
    room: WaitingRoom
    request_handler: RequestHandler
    node_status: NodeStatusHandler
    run_copier: RunCopier
    stalls: StallWatch
    poll: EndpointPoll
    tasks: BackgroundTasks
    options: NodeOptions
    client_bounds: ClientBounds
    rollouts: Rollouts
    servers: list[HttpServer] = field(default_factory=list)
    leaving_endpoints: deque[Endpoint] = field(default_factory=deque)
    draining: bool = False

    def is_ready(self) -> bool:
        """Return whether clients may be sent here."""
        return not self.draining and self.platform_state.route_table is not None

    async def start(self) -> None:
        """Open the listeners and start the loops."""
        await self.open_listeners()
        loops: tuple[Loop, ...] = (
            self.follower.run,
            self.fleet.run_beats,
            self.fleet.run_notices,
            self.fleet.hub.run,
            self.fleet.hub.run_news,
            self.discovery.run_membership,
            self.discovery.run_seeds,
            self.room.run,
            self.room.placement.queue.run,
            self.stalls.run,
            self.poll.run,
            self.client_bounds.run,
            self.rollouts.run,
            self.act_on_news,
        )
        for loop in loops:
            await self.tasks.spawn(self.keep_running, loop)
        log_event(
            Event.NODE_STARTED,
            node=self.settings.node,
            incarnation=self.fleet.own.incarnation,
        )

    async def open_listeners(self) -> None:
        """Open the listeners for clients, the platform and peers."""
        await self.tasks.spawn(
            self.fleet.mesh.serve, listen(self.settings.peers)
        )
        status = self.node_status.answer
        interfaces: tuple[tuple[str, Handler, Listener], ...] = (
            (
                self.settings.callers,
                self.request_handler.answer,
                Listener.CALLERS,
            ),
            (self.settings.readiness, status, Listener.READINESS),
            (self.settings.control, status, Listener.CONTROL),
            (self.settings.directory, status, Listener.DIRECTORY),
        )
        for address, handler, name in interfaces:
            await self.serve(listen(address), handler, name)
        await self.open_metrics()

    async def open_metrics(self) -> None:
        """Open the metrics address; failing to do so does not stop the node."""
        address = self.settings.metrics
        try:
            listener = listen(address)
        except OSError as error:
            log_event(Event.METRICS_CLOSED, address=address, message=str(error))
            return
        await self.serve(listener, self.node_status.answer, Listener.METRICS)

    async def serve(
        self, listener: object, handler: Handler, name: Listener
    ) -> None:
        """Answer the requests of one listener."""
        bounds = self.client_bounds
        server = HttpServer(
            listener,
            handler,
            partial(bounds.http_limits, name),
            bounds.intakes[name],
        )
        self.servers.append(server)
        await self.tasks.spawn(server.run)

    async def keep_running(self, loop: Loop) -> None:
        """Run a loop until cancelled, restarting it when it fails."""
        while True:
            try:
                await loop()
            except Exception as error:  # noqa: BLE001  logged, then restarted
                log_event(
                    Event.HANDLER_FAILED,
                    loop=getattr(loop, '__qualname__', repr(loop)),
                    message=repr(error),
                )
            await curio.sleep(RESTART_SECONDS)

    async def act_on_news(self) -> None:
        """Act on changes: send updates and copy runs of leaving endpoints."""
        while True:
            await self.platform_state.changed.wait()
            self.platform_state.changed.clear()
            self.room.placement.queue.refresh()
            await self.fleet.hub.findings.update_wanted.set()
            while self.leaving_endpoints:
                endpoint = self.leaving_endpoints.popleft()
                await self.tasks.spawn(
                    self.run_copier.copy_until_ended, endpoint
                )

    async def stop(self) -> None:
        """Drain and stop within the platform's grace period."""
        started_at = self.clock()
        ends_at = started_at + self.settings.bounds.grace_seconds
        self.draining = True
        self.request_handler.planned_stop = PlannedStop(
            started_at + LEAVE_SECONDS,
            ends_at - FINISH_SECONDS - ANSWER_SECONDS,
        )
        log_event(Event.NODE_DRAINING)
        for server in self.servers:
            server.announce_leaving()
        await self.fleet.loads.changed.set()
        await self.wait_idle(started_at + LEAVE_SECONDS, ends_at)
        seconds = max(FINISH_SECONDS, ends_at - FINISH_SECONDS - self.clock())
        async with curio.ignore_after(seconds):
            await self.servers[0].finish(seconds)
        async with curio.ignore_after(FINISH_SECONDS / 2):
            await self.fleet.membership.leave()
        log_event(Event.NODE_STOPPED, node=self.settings.node)
        await self.tasks.cancel_all()
        await self.fleet.mesh.close()

    async def wait_idle(self, earliest: float, ends_at: float) -> None:
        """Wait until no request is in progress and no new one arrives."""
        seen = -1
        while self.clock() < ends_at - 2 * FINISH_SECONDS:
            busy = (
                self.request_handler.open_requests
                or self.run_copier.run_registry.runs
                or self.fleet.tunnels.open_tunnels
            )
            idle = not busy and seen == self.request_handler.request_count
            if idle and self.clock() >= earliest:
                return
            seen = self.request_handler.request_count
            await curio.sleep(IDLE_SECONDS)


def listen(address: str) -> object:
    """Return a listener; raises OSError when the address is not free."""
    host, _, port = address.rpartition(':')
    return open_listener(host, int(port))

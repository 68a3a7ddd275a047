"""Start and stop hooks of a node: listeners, background loops, draining."""

from collections.abc import Callable, Coroutine
from functools import partial
from typing import Any

import curio

from turmericyard_http.answer_writer import Limits
from turmericyard_http.server import HttpServer, open_listener
from turmericyard_node.application import Application
from turmericyard_node.callers.api import answer_caller
from turmericyard_node.callers.silence import watch_streams
from turmericyard_node.clock import sleep_to_tick
from turmericyard_node.events import Event, log_event
from turmericyard_node.heartbeats import run_heartbeats
from turmericyard_node.operators.api import answer_operator
from turmericyard_node.orders import create_order_service
from turmericyard_node.polling import run_load_polls, run_vm_polls

#: Time without a new request after which a draining node stops.
DRAIN_QUIET_SECONDS = 0.5
#: Minimum time for connections to finish, also after the drain limit.
MIN_FINISH_SECONDS = 1.0
LOOP_RESTART_SECONDS = 0.5
#: Maximum time to release the terms when the loop of orders ends.
TERMS_RELEASE_SECONDS = 1.0
ISOLATION_POLL_SECONDS = 0.25

Loop = Callable[[Application], Coroutine[Any, Any, None]]


def listen(address: str) -> Any:
    """Return a listener; raises OSError when the address is in use."""
    host, _, port = address.rpartition(':')
    return open_listener(host, int(port))


async def open_interfaces(
    servers: list[HttpServer], application: Application
) -> None:
    """Open the listeners for peers, callers and operators."""
    node = application.settings.node
    limits = application.settings.limits

    caller_handler = partial(answer_caller, application)
    operator_handler = partial(answer_operator, application)
    http_limits = Limits(limits.header_bytes, limits.body_bytes)
    spawn = application.tasks.spawn
    peers = listen(node.peer_address)
    callers = listen(node.caller_address)
    operators = listen(node.operator_address)
    await spawn(application.mesh.serve, peers)
    servers.extend(
        (
            HttpServer(callers, caller_handler, http_limits),
            HttpServer(operators, operator_handler, http_limits),
        )
    )
    for server in servers:
        await spawn(server.run)


async def start_loops(application: Application) -> None:
    """Start the background loops, which run until the node stops."""
    application.peer_addresses()
    loops: tuple[Loop, ...] = (
        follow_configuration,
        keep_membership,
        run_heartbeats,
        run_load_polls,
        run_vm_polls,
        keep_view,
        renew_loans,
        dispatch,
        give_orders,
        tell_paces,
        watch_isolation,
        watch_streams,
    )
    for loop in loops:
        await application.tasks.spawn(run_repeatedly, application, loop)


async def run_repeatedly(application: Application, loop: Loop) -> None:
    """Restart a loop whenever it ends, so that no error stops it for good."""
    while True:
        try:
            await loop(application)
        except Exception as error:  # noqa: BLE001  logged; the loop restarts
            log_event(
                Event.HANDLER_FAILED, loop=loop.__name__, message=repr(error)
            )
        await curio.sleep(LOOP_RESTART_SECONDS)


async def follow_configuration(application: Application) -> None:
    """Follow the configuration in the store."""
    await application.configuration.run()


async def keep_membership(application: Application) -> None:
    """Renew the node's record and refresh the known members."""
    await application.membership.run()


async def dispatch(application: Application) -> None:
    """Dispatch queued work."""
    await application.dispatcher.run()


async def keep_view(application: Application) -> None:
    """Follow the stored view and write the changes due at this node."""
    await application.permits.views.run()


async def renew_loans(application: Application) -> None:
    """Renew the loans of the shares of owned endpoints."""
    await application.permits.loans.run()


async def tell_paces(application: Application) -> None:
    """Report the pace of the tokens relayed here to the owners."""
    await application.permits.paces.run()


async def give_orders(application: Application) -> None:
    """Send orders to engines; the terms are released with the loop."""
    service = create_order_service(application)
    try:
        await service.run()
    finally:
        await curio.ignore_after(
            TERMS_RELEASE_SECONDS, service.terms.release_all
        )


async def watch_isolation(application: Application) -> None:
    """Log when the node becomes isolated and when it is in contact again."""
    isolated = False
    while True:
        now_isolated = application.contact.is_isolated(application.clock())
        if now_isolated is not isolated:
            isolated = now_isolated
            log_event(Event.NODE_ISOLATED if isolated else Event.NODE_REJOINED)
        await sleep_to_tick(ISOLATION_POLL_SECONDS)


async def drain(servers: list[HttpServer], application: Application) -> None:
    """Shut down without interrupting a request.

    The node is removed from address responses immediately. It accepts work
    while callers may have its address cached, then refuses new work and waits
    for the last stream. Finally it closes its listeners and answers the
    requests that have already reached them.
    """
    timing = application.settings.timing
    application.draining = True
    log_event(Event.NODE_DRAINING)
    for server in servers:
        server.announce_leaving()
    await application.membership.announce_leaving()
    await curio.sleep(timing.address_ttl_seconds + timing.drain_margin_seconds)
    application.closed = True
    deadline = application.clock() + timing.drain_limit_seconds
    previous_count = -1
    while application.clock() < deadline:
        if (
            not has_open_work(application)
            and previous_count == application.request_count
        ):
            break
        previous_count = application.request_count
        await curio.sleep(DRAIN_QUIET_SECONDS)
    for http_server in servers:
        remaining = deadline - application.clock()
        await http_server.finish(max(remaining, MIN_FINISH_SECONDS))
    await application.membership.leave()


def has_open_work(application: Application) -> bool:
    """Return whether a request or stream is still being served."""
    return bool(application.streams) or application.open_requests > 0


def register_gauges(application: Application) -> None:
    """Register the metrics whose values are read at each scrape."""
    gauges = application.metrics.gauges
    gauges.gauge('turmericyard.streams', '1', lambda: len(application.streams))
    gauges.gauge(
        'turmericyard.queued', '1', lambda: len(application.dispatcher.queue)
    )
    gauges.gauge(
        'turmericyard.configuration.revision',
        '1',
        lambda: application.configuration.current.revision,
    )
    gauges.counter(
        'turmericyard.peer.sent', 'By', lambda: application.mesh.sent_bytes()
    )
    gauges.counter(
        'turmericyard.peer.messages',
        '{message}',
        lambda: application.mesh.sent_messages(),
    )
    gauges.counter(
        'turmericyard.permits.asked',
        '{request}',
        lambda: application.permits.asked,
    )
    gauges.counter(
        'turmericyard.permits.granted',
        '{permit}',
        lambda: application.permits.granted,
    )
    gauges.counter(
        'turmericyard.tokens.relayed',
        '1',
        lambda: application.tokens_relayed,
    )


def add_hooks(application: Application) -> None:
    """Register the metrics and add all start and stop hooks in order."""
    register_gauges(application)
    servers: list[HttpServer] = []
    application.on_start.extend(
        (partial(open_interfaces, servers), start_loops)
    )
    application.on_stop.append(partial(drain, servers))

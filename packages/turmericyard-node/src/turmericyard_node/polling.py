"""Polls the load and cache events of owned engines, and the VM list."""

from typing import TYPE_CHECKING

import curio
from returns.result import Success

from turmericyard_clients.engine_errors import NotStarted
from turmericyard_clients.engine_reports import EngineLoad, PrefixEvents
from turmericyard_clients.vm_list import Vm, VmList, VmState
from turmericyard_decisions.prefix_index import CacheEvent, CacheEventKind
from turmericyard_decisions.warmth import ColdSign
from turmericyard_node.clock import sleep_to_tick
from turmericyard_node.endpoint_deaths import declare_death
from turmericyard_node.endpoint_state import EndpointState
from turmericyard_tables.models import Endpoint, WorkKind

if TYPE_CHECKING:
    from turmericyard_node.application import Application

VM_LIST_POLL_SECONDS = 1.0
FAILED_POLLS_BEFORE_DEATH = 2


async def run_load_polls(application: 'Application') -> None:
    """Poll the load of all owned engines until cancelled."""
    interval = application.settings.timing.load_poll_seconds
    failures: dict[str, int] = {}
    while True:
        async with curio.TaskGroup() as group:
            for endpoint in owned_engines(application):
                await group.spawn(poll_load, application, endpoint, failures)
        await sleep_to_tick(interval)


def owned_engines(application: 'Application') -> list[Endpoint]:
    """Return the engines that this node owns."""
    configuration = application.configuration.current
    return [
        endpoint
        for endpoint in application.permits.loans.index.owned()
        if configuration.pools[endpoint.pool].kind is WorkKind.GENERATION
    ]


async def poll_load(
    application: 'Application', endpoint: Endpoint, failures: dict[str, int]
) -> None:
    """Apply one engine's load report and cache events.

    An engine counts as dead when at least FAILED_POLLS_BEFORE_DEATH polls in a
    row have failed and the last one ended with NotStarted.
    """
    state = application.permits.state(endpoint)
    engine = application.clients.engine(endpoint.address)
    asked_at = application.clock()
    reported = await engine.load()
    now = application.clock()
    if isinstance(reported, Success):
        failures.pop(endpoint.name, None)
        application.permits.observe_load(endpoint, reported.unwrap(), asked_at)
        await apply_load(application, state, reported.unwrap(), now)
        events = await engine.cache_events(state.cache_sequence)
        if isinstance(events, Success):
            apply_cache_events(application, state, events.unwrap(), now)
        return
    count = failures.get(endpoint.name, 0) + 1
    failures[endpoint.name] = count
    refused = isinstance(reported.failure(), NotStarted)
    if refused and count >= FAILED_POLLS_BEFORE_DEATH:
        state.mark_cold(ColdSign.REFUSED)
        await declare_death(application, state)


async def apply_load(
    application: 'Application',
    state: EndpointState,
    load: EngineLoad,
    now: float,
) -> None:
    """Apply a load report; a new restart id means that the engine died."""
    restarted = state.restart not in {'', load.restart}
    if restarted:
        await declare_death(application, state)
    state.observe_load(load, now)


def apply_cache_events(
    application: 'Application',
    state: EndpointState,
    published: PrefixEvents,
    now: float,
) -> None:
    """Record which prefixes the engine reports to have cached.

    An emptied cache is a sign of a cold start.
    """
    state.cache_sequence = published.next
    prefixes = application.candidates.prefixes
    prefixes.observe(
        state.name,
        (
            CacheEvent(event.sequence, CacheEventKind(event.kind), event.prefix)
            for event in published.events
        ),
        now,
    )
    if prefixes.emptied(state.name):
        state.mark_cold(ColdSign.CACHE_EMPTIED)


async def run_vm_polls(application: 'Application') -> None:
    """Poll the VM list until cancelled; it lags and is only a hint."""
    vm_list = application.vm_list
    if vm_list is None:
        return
    known: tuple[Vm, ...] = ()
    while True:
        known = await poll_vms(application, vm_list, known)
        await sleep_to_tick(VM_LIST_POLL_SECONDS)


async def poll_vms(
    application: 'Application', vm_list: VmList, known: tuple[Vm, ...]
) -> tuple[Vm, ...]:
    """Record which VMs are leaving or gone; return the newest list.

    Nothing is done when the newest list is `known`, the last recorded one.
    """
    listed = await vm_list.list_vms()
    newest = listed.value_or(known)
    if newest is not known:
        application.permits.views.observe_vms(newest)
        leaving = frozenset(
            vm.name for vm in newest if vm.state is not VmState.LIVE
        )
        application.candidates.leaving_vms.observe_list(leaving)
    return newest

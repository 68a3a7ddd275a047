"""Steps for the VM list client and the link stand-in."""

import time

import curio
from behave import given, then, when
from behave.runner import Context
from returns.pipeline import is_successful

from turmericyard_clients.http_store import open_http_store
from turmericyard_clients.store import StoreAnswerLost
from turmericyard_clients.vm_list import (
    VmListUnavailable,
    VmState,
    open_vm_list,
)

STANDINS = 'turmericyard_bench.standins'


@given('a VM list process with VM "{name}" that lags 1 second')
def step_vm_list(context: Context, name: str) -> None:
    context.process = context.launcher.start_ready(
        'vm-list', f'{STANDINS}.vm_list', ('--vm', f'{name},127.0.0.1,a')
    )
    context.process.control(lag_seconds=1)
    context.vm_list = open_vm_list(context.process.address)


@when('the platform marks "{name}" as leaving')
def step_leaving(context: Context, name: str) -> None:
    context.process.control(vm=name, state='leaving')


def vm_state(context: Context, name: str) -> VmState:
    listed = curio.run(context.vm_list.list_vms()).unwrap()
    return next(vm.state for vm in listed if vm.name == name)


@then('the list still shows "{name}" as live')
def step_still_live(context: Context, name: str) -> None:
    assert vm_state(context, name) is VmState.LIVE


@then('after a second the list shows "{name}" as leaving')
def step_now_leaving(context: Context, name: str) -> None:
    time.sleep(1.1)
    assert vm_state(context, name) is VmState.LEAVING


@then('listing twice returns the same object')
def step_same_list(context: Context) -> None:
    first, second = (
        curio.run(context.vm_list.list_vms()).unwrap() for _ in range(2)
    )
    assert first is second


@then('a list that is down is reported as unavailable')
def step_list_down(context: Context) -> None:
    context.process.control(down=True)
    failure = curio.run(context.vm_list.list_vms()).failure()
    assert isinstance(failure, VmListUnavailable)


@given('a store process behind a link')
def step_linked_store(context: Context) -> None:
    launcher = context.launcher
    store = launcher.start_ready('store', f'{STANDINS}.store')
    context.link = launcher.start_ready(
        'link', f'{STANDINS}.link', ('--target', store.address)
    )
    context.store = open_http_store(context.link.address, timeout_seconds=1)


def store_responds(context: Context) -> bool:
    return is_successful(curio.run(context.store.read('k')))


@then('the store responds through the link')
def step_responds(context: Context) -> None:
    assert store_responds(context)


@then('the store does not respond through the link')
def step_no_response(context: Context) -> None:
    assert not store_responds(context)


@when('the link is {mode}')
def step_mode(context: Context, mode: str) -> None:
    context.link.control(mode=mode)


@when('the link silences its open connections')
def step_silent(context: Context) -> None:
    assert context.link.ledger()['connections'] == 1
    context.link.control(mode='silent')


@then('an open connection gets no response and a new one does')
def step_open_connection(context: Context) -> None:
    failure = curio.run(context.store.read('k')).failure()
    assert isinstance(failure, StoreAnswerLost)
    assert store_responds(context)

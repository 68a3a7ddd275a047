"""Steps for the store client against the store stand-in."""

import time

import curio
from behave import given, then, when
from behave.runner import Context
from returns.pipeline import is_successful

from turmericyard_clients.http_store import open_http_store
from turmericyard_clients.store import (
    StoreAnswerLost,
    StoreConflict,
    StoreRefused,
    StoreUnavailable,
)

STORE = 'turmericyard_bench.standins.store'


@given('a store process and a client of it')
def step_store(context: Context) -> None:
    context.process = context.launcher.start_ready('store', STORE)
    context.store = open_http_store(
        context.process.address, timeout_seconds=1.5
    )


def write(context: Context, key: str, value: bytes = b'v'):
    return curio.run(context.store.write(key, value, expected=0))


@when('the client writes "{text}" under "{key}" expecting no value')
def step_write(context: Context, text: str, key: str) -> None:
    context.key = key
    context.revision = write(context, key, text.encode()).unwrap()


@then('reading "{key}" gives "{text}" at that revision')
def step_read(context: Context, key: str, text: str) -> None:
    entry = curio.run(context.store.read(key)).unwrap()
    assert (entry.value, entry.revision) == (text.encode(), context.revision)


@then('listing "{prefix}" gives that one entry')
def step_list(context: Context, prefix: str) -> None:
    snapshot = curio.run(context.store.list_prefix(prefix)).unwrap()
    assert [entry.key for entry in snapshot.entries] == [context.key]


@then('a watch after revision 0 gives that one change')
def step_watch(context: Context) -> None:
    watch = context.store.watch('t/', after=0, wait_seconds=1)
    batch = curio.run(watch).unwrap()
    assert [c.revision for c in batch.changes] == [context.revision]


@then('a second write expecting no value is a conflict at that revision')
def step_conflict(context: Context) -> None:
    failure = write(context, context.key).failure()
    assert failure == StoreConflict(context.revision)


@then('after a delete the key does not exist')
def step_delete(context: Context) -> None:
    delete = context.store.delete(context.key, expected=context.revision)
    curio.run(delete).unwrap()
    assert curio.run(context.store.read(context.key)).unwrap() is None


@when('a watch of 10 seconds waits while a key is written')
def step_waiting_watch(context: Context) -> None:
    async def run() -> None:
        watch = context.store.watch('w/', after=0, wait_seconds=10)
        task = await curio.spawn(watch)
        await curio.sleep(0.2)
        await context.store.write('w/1', b'v', expected=0)
        context.batch = (await task.join()).unwrap()

    started = time.monotonic()
    curio.run(run)
    context.seconds = time.monotonic() - started


@then('the watch ends with that write in under 5 seconds')
def step_watch_ended(context: Context) -> None:
    assert [c.key for c in context.batch.changes] == ['w/1']
    assert context.seconds < 5


@when('the store drops the response to the next write')
def step_drop_response(context: Context) -> None:
    context.process.control(lose_answers=1)


@then('the write is reported as possibly applied and the value can be read')
def step_possibly_applied_readable(context: Context) -> None:
    assert isinstance(write(context, 'lost').failure(), StoreAnswerLost)
    assert curio.run(context.store.read('lost')).unwrap().value == b'v'


@when('the store is down')
def step_down(context: Context) -> None:
    context.process.control(down=True)


@when('the store is up again')
def step_up(context: Context) -> None:
    context.process.control(down=False)


@when('the store is down for 1 second')
def step_down_for(context: Context) -> None:
    context.process.control(down=True)
    time.sleep(1)
    context.process.control(down=False)


@then('a write is reported as not applied')
def step_not_applied(context: Context) -> None:
    failure = write(context, 'refused').failure()
    assert isinstance(failure, StoreUnavailable), failure


@then('the rejected write left no value')
def step_no_value(context: Context) -> None:
    assert curio.run(context.store.read('refused')).unwrap() is None


@when('the store hangs')
def step_hang(context: Context) -> None:
    context.process.control(hang=True)


@then('a write is reported as possibly applied')
def step_possibly_applied(context: Context) -> None:
    assert isinstance(write(context, 'hung').failure(), StoreAnswerLost)


@when('a key is written with a lease of 0.3 seconds')
def step_lease(context: Context) -> None:
    async def run() -> str:
        lease = (await context.store.grant_lease(0.3)).unwrap()
        await context.store.write('l', b'v', expected=0, lease=lease)
        return lease

    context.lease = curio.run(run)


@then('the leased key is gone and the lease cannot be renewed')
def step_lease_gone(context: Context) -> None:
    assert curio.run(context.store.read('l')).unwrap() is None
    renewal = curio.run(context.store.renew_lease(context.lease))
    assert isinstance(renewal.failure(), StoreRefused)


@when('the store accepts 1 write per second and gets 5 writes in a row')
def step_rate(context: Context) -> None:
    context.process.control(writes_per_second=1)

    async def run() -> list:
        return [
            await context.store.write(f'r{index}', b'', expected=0)
            for index in range(5)
        ]

    context.results = curio.run(run)


@then('at least 3 writes are reported as not applied')
def step_rate_refused(context: Context) -> None:
    failed = [r.failure() for r in context.results if not is_successful(r)]
    context.refused = len(failed)
    assert context.refused >= 3
    assert all(isinstance(f, StoreUnavailable) for f in failed)
    assert all(f.retry_after_seconds == 1 for f in failed)


@then('the store ledger counts them as refused')
def step_rate_ledger(context: Context) -> None:
    seconds = context.process.ledger()['seconds'].values()
    assert sum(s['refused'] for s in seconds) == context.refused


@when('the store process is killed')
def step_kill(context: Context) -> None:
    context.process.kill()


@then('writing a value of {size:d} bytes is rejected permanently')
def step_too_large(context: Context, size: int) -> None:
    failure = write(context, 'large', bytes(size)).failure()
    assert isinstance(failure, StoreRefused)

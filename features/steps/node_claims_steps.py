"""Steps for the claims of a node, over a store in memory."""

from collections import deque
from typing import Any

import curio
from behave import then, when
from behave.runner import Context
from hypothesis import given as draw
from hypothesis import seed, settings
from hypothesis import strategies as st

from support.fake_store import FakeStore, Fault
from turmericyard_node.claims import ClaimGranted, ClaimHeld, ClaimService

VALIDITY_SECONDS = 4
WRITE_SECONDS = 0.005


class SlowStore(FakeStore):
    writes = 0

    async def write(self, *arguments: Any, **options: Any) -> Any:
        self.writes += 1
        await curio.sleep(WRITE_SECONDS)
        return await FakeStore.write(self, *arguments, **options)


def create_service(store: FakeStore) -> ClaimService:
    return ClaimService(store, lambda: 0, VALIDITY_SECONDS)


async def acquire_all(
    services: list[ClaimService], keys: list[str]
) -> list[Any]:
    tasks = [
        await curio.spawn(service.acquire, 'workspace', key, 'body')
        for key in keys
        for service in services
    ]
    return [await task.join() for task in tasks]


@when('one node claims {count:d} keys at once')
def step_claim_many(context: Context, count: int) -> None:
    context.store = SlowStore()
    keys = [f'key-{number}' for number in range(count)]
    services = [create_service(context.store)]
    context.answers = curio.run(acquire_all, services, keys)


@then('every claim is granted')
def step_all_granted(context: Context) -> None:
    assert all(isinstance(each, ClaimGranted) for each in context.answers)


@then('the store took at most {count:d} writes')
def step_few_writes(context: Context, count: int) -> None:
    assert context.store.writes <= count, context.store.writes


@then('under any store faults at most one of two nodes is granted a key')
def step_faults(context: Context) -> None:
    @seed(1)
    @settings(database=None, deadline=None, max_examples=300)
    @draw(st.lists(st.sampled_from(Fault), max_size=12))
    def check(faults: list[Fault]) -> None:
        store = FakeStore(faults=deque(faults))
        services = [create_service(store), create_service(store)]
        curio.run(claim_twice, store, services)

    check()


async def claim_twice(store: FakeStore, services: list[ClaimService]) -> None:
    """Claim one key at both nodes, before and after the late writes."""
    answers = await acquire_all(services, ['key'])
    for write in store.late_writes:
        write()
    store.late_writes.clear()
    answers += await acquire_all(services, ['key'])
    granted = [each for each in answers if isinstance(each, ClaimGranted)]
    assert len(granted) < 2, answers


@when('two nodes use one key and the first records "{outcome}"')
def step_record_outcome(context: Context, outcome: str) -> None:
    async def use() -> Any:
        first, second = create_service(store), create_service(store)
        claim = await first.acquire('workspace', 'key', 'body')
        before = await second.acquire('workspace', 'key', 'body')
        assert before == ClaimHeld(''), before
        await first.record(claim, outcome)
        return await second.acquire('workspace', 'key', 'body')

    store = FakeStore()
    context.answer = curio.run(use)


@then('the second node gets the outcome "{outcome}"')
def step_outcome(context: Context, outcome: str) -> None:
    assert context.answer == ClaimHeld(outcome), context.answer

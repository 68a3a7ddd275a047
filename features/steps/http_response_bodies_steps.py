"""Steps for the limit of all response bodies that are being read."""

from collections.abc import Awaitable, Callable
from functools import partial
from itertools import chain, repeat

import curio
from behave import given, then, when
from behave.runner import Context
from returns.result import Failure

from support.fleet.endless import FloodingRunner
from support.memory import MEGABYTE, peak_growth
from turmericyard_bench.launch import LOOPBACK, free_port
from turmericyard_http.client import HttpClient
from turmericyard_http.intake.account import Kind, MemoryAccount
from turmericyard_http.response_bodies import ResponseBodies, ResponseTooLong
from turmericyard_http.server import open_listener


@given('bodies with a limit of {limit:d} bytes')
def step_limit(context: Context, limit: int) -> None:
    context.bodies = ResponseBodies(limit)


@given('bodies in a process whose clients take all memory')
def step_full_account(context: Context) -> None:
    account = MemoryAccount(bound=MEGABYTE)
    account.take(Kind.BODIES, MEGABYTE)
    context.bodies = ResponseBodies(account=account)


def reader(pieces: chain[bytes]) -> Callable[[], Awaitable[bytes]]:
    async def read() -> bytes:
        await curio.sleep(0)
        return next(pieces)

    return read


@when(
    'pieces of {size:d} bytes arrive of a body without end between those of'
    ' {count:d} bodies of {length:d} bytes'
)
def step_pieces(context: Context, size: int, count: int, length: int) -> None:
    async def scenario() -> None:
        read = context.bodies.read_all
        endless = await curio.spawn(read, reader(chain(repeat(b'a' * size))))
        tasks = [
            await curio.spawn(read, reader(chain(repeat(b'b', length), [b''])))
            for _ in range(count)
        ]
        context.complete = [len(await task.join()) for task in tasks]
        context.lengths = [length] * count
        try:
            await endless.join()
        except curio.TaskError as error:
            context.failure = error.__cause__

    curio.run(scenario)


@then('the body without end is given up and the others are complete')
def step_given_up(context: Context) -> None:
    assert isinstance(context.failure, ResponseTooLong), context.failure
    assert context.complete == context.lengths, context.complete


@then('nothing is held when all have ended')
def step_nothing_held(context: Context) -> None:
    assert not context.bodies.used
    assert not context.bodies.readings


@given('a server that sends bodies without end')
def step_server(context: Context) -> None:
    context.runner = FloodingRunner('a body with a length')


@when(
    '{count:d} requests of the HTTP client are answered by it at the same time'
)
def step_requests(context: Context, count: int) -> None:
    async def ask(address: str) -> None:
        result = await HttpClient(address).request('GET', '/', fresh=True)
        context.results.append(result)

    async def scenario() -> None:
        listener = open_listener(LOOPBACK, free_port())
        address = f'{LOOPBACK}:{listener.getsockname()[1]}'
        serving = await curio.spawn(context.runner.serve, listener)
        context.results = []
        async with curio.TaskGroup() as group:
            for _ in range(count):
                await group.spawn(ask, address)
        await serving.cancel()

    context.grown = peak_growth(partial(curio.run, scenario))


@then('each fails and the memory grows by at most {megabytes:d} MB')
def step_bounded(context: Context, megabytes: int) -> None:
    assert all(isinstance(each, Failure) for each in context.results)
    assert context.grown <= megabytes * MEGABYTE, context.grown

"""Steps for nodes that receive invalid bytes or answers."""

from random import Random

import curio
from behave import then, when
from behave.runner import Context
from hypothesis import given as property_given
from hypothesis import seed, settings

from support.drawn_inputs import STORE_ANSWERS, mutated
from support.fleet.scenario import run
from support.fleet.world import World
from turmericyard_http.connection import connect
from turmericyard_http.messages import Request, Response

SEED = 20261204


async def call_all(world: World, context: Context) -> None:
    """Call a node repeatedly until cancelled."""
    number = 0
    while True:
        number += 1
        answer = await world.ask('n-0', '/read/a', f'at-{number}')
        context.answers.append(answer)


@when('{count:d} random byte strings are sent to each address of a node')
def step_send(context: Context, count: int) -> None:
    random = Random(SEED)
    context.answers = []

    async def scenario(world: World) -> None:
        caller = await curio.spawn(call_all, world, context)
        node = world.nodes['n-0'].settings
        addresses = (
            node.callers,
            node.readiness,
            node.control,
            node.directory,
            node.peers,
        )
        for _ in range(count):
            for address in addresses:
                await send_bytes(address, random)
        await caller.cancel()
        context.peers = list(world.nodes['n-0'].fleet.live_members())

    run(context, scenario)


async def send_bytes(address: str, random: Random) -> None:
    """Send random bytes, some of them after the start of a request."""
    prefix = random.choice((b'', b'GET / HTTP/1.1\r\n', b'POST /read/a HTT'))
    connection = await connect(address)
    try:
        sent = prefix + random.randbytes(random.randrange(1, 300))
        await connection.sock.sendall(sent)
        async with curio.ignore_after(0.02):
            await connection.sock.recv(1000)
    except OSError:
        return
    finally:
        await connection.close()


@then('each client call in the meantime was answered with status {status:d}')
def step_calls_answered(context: Context, status: int) -> None:
    assert len(context.answers) > 10
    statuses = {answer.status for answer in context.answers}
    assert statuses == {status}, statuses


@then('the node still lists its peer as a member')
def step_peer(context: Context) -> None:
    assert context.peers == ['n-1'], context.peers


@when(
    'the store answers each call with generated bodies for {seconds:d} seconds'
)
def step_store(context: Context, seconds: int) -> None:
    random = Random(SEED)
    bodies: list[bytes] = []

    def collect(body: bytes) -> None:
        bodies.append(body)

    bounded_settings = settings(max_examples=200, deadline=None, database=None)
    seed(SEED)(
        bounded_settings(property_given(mutated(STORE_ANSWERS))(collect))
    )()
    context.answers = []

    async def scenario(world: World) -> None:
        async def answer(_request: Request) -> Response:
            await curio.sleep(0)
            return Response(200, {}, random.choice(bodies))

        world.servers['store'].handler = answer
        caller = await curio.spawn(call_all, world, context)
        await curio.sleep(seconds)
        await caller.cancel()

    run(context, scenario)

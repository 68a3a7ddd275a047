"""Failures that a soak injects, drawn from a seeded random source.

A failure is injected through control ports, signals and the operators'
command. A failure that lasts is reverted before its coroutine returns.
"""

import random
from collections.abc import Awaitable, Callable, Sequence
from dataclasses import dataclass, field

import curio

from turmericyard_bench.caller import Caller
from turmericyard_bench.deployment import Deployment
from turmericyard_bench.invariants import Absence
from turmericyard_bench.mixed_load import MAX_TOKENS, REPORT
from turmericyard_bench.operator_command import OperatorAnswer
from turmericyard_bench.records import StreamRecord
from turmericyard_bench.transcript import length_word, word_token
from turmericyard_http.clock import boot_seconds

#: Durations of a short and a long failure, in seconds.
SHORT_SECONDS = 3
LONG_SECONDS = 10
#: How long a node is frozen; longer than the lease of its record.
FREEZE_SECONDS = 12
#: Time between the notice and the reclaim of an engine, in seconds.
NOTICE_SECONDS = 8
STORE_LATENCY_SECONDS = 0.5
LOST_ANSWER_COUNT = 6
POISON_TOKENS = 20
POISON_TIMEOUT_SECONDS = 30


@dataclass(slots=True)
class FailureContext:
    """What failures act on, and what they record for the checks.

    `absences` are the times when endpoints were out of service, `poisoned`
    the requests that crash every engine which runs them, `reclaimed` the
    engines that have been removed.
    """

    deployment: Deployment
    source: random.Random
    absences: list[Absence] = field(default_factory=list)
    poisoned: list[StreamRecord] = field(default_factory=list)
    reclaimed: set[str] = field(default_factory=set)

    def engine(self) -> str:
        """Return a random engine that has not been reclaimed."""
        return self.source.choice(self.engines())

    def engines(self) -> list[str]:
        """Return the engines that have not been reclaimed."""
        return [
            endpoint.name
            for endpoint in self.deployment.example.endpoints
            if endpoint.is_engine and endpoint.name not in self.reclaimed
        ]

    def service(self) -> str:
        """Return a random plain service."""
        return self.source.choice(
            [
                endpoint.name
                for endpoint in self.deployment.example.endpoints
                if not endpoint.is_engine
            ]
        )

    def node(self) -> str:
        """Return a random node."""
        return self.source.choice(sorted(self.deployment.nodes))

    def zone(self) -> str:
        """Return a random zone."""
        return self.source.choice(self.deployment.example.zones)

    async def operate(self, *arguments: str) -> OperatorAnswer:
        """Run the operators' command in a thread while the load goes on."""
        answer: OperatorAnswer = await curio.run_in_thread(
            self.deployment.operate, *arguments
        )
        return answer


async def crash_engine(context: FailureContext) -> None:
    """Crash an engine; it restarts cold."""
    context.deployment.endpoints[context.engine()].control(crash=True)


async def kill_service(context: FailureContext) -> None:
    """Kill a plain service and start it again."""
    name = context.service()
    context.deployment.endpoints[name].kill()
    await curio.sleep(SHORT_SECONDS)
    await curio.run_in_thread(context.deployment.restart_endpoint, name)


async def kill_node(context: FailureContext) -> None:
    """Kill a node and start it again."""
    name = context.node()
    context.deployment.nodes[name].process.kill()
    await curio.sleep(SHORT_SECONDS)
    await restart_node(context, name)


async def restart_node(context: FailureContext, name: str) -> None:
    """Start a node unless its process is running."""
    if not context.deployment.nodes[name].process.is_running():
        await curio.run_in_thread(context.deployment.restart_node, name)


async def pause_node(context: FailureContext) -> None:
    """Freeze a node for longer than its leases, then let it continue."""
    process = context.deployment.nodes[context.node()].process
    process.freeze()
    await curio.sleep(FREEZE_SECONDS)
    process.thaw()


async def drain_node(context: FailureContext) -> None:
    """Ask a node to stop and start it again once it has."""
    name = context.node()
    process = context.deployment.nodes[name].process
    process.terminate()
    await curio.run_in_thread(process.wait, LONG_SECONDS * 2)
    await restart_node(context, name)


async def reclaim_engine(context: FailureContext) -> None:
    """Reclaim an engine permanently, after a short notice."""
    name = context.engine()
    context.reclaimed.add(name)
    running = context.deployment.endpoints[name]
    running.control(reclaim_seconds=NOTICE_SECONDS)
    begin = boot_seconds()
    await curio.sleep(NOTICE_SECONDS)
    context.absences.append(
        Absence(f'reclaimed {name}', frozenset((name,)), begin, boot_seconds())
    )


async def stall_store_link(context: FailureContext) -> None:
    """Stall the connections of one node to the store."""
    await set_link_mode(context, 'stalled', LONG_SECONDS)


async def cut_store_link(context: FailureContext) -> None:
    """Disconnect one node from the store."""
    await set_link_mode(context, 'cut', LONG_SECONDS)


async def silence_store_link(context: FailureContext) -> None:
    """Make a node's open connections to the store silent permanently."""
    context.deployment.links[context.node()].control(mode='silent')


async def set_link_mode(
    context: FailureContext, mode: str, seconds: float
) -> None:
    """Set the mode of a random node's store link, then open it again."""
    link = context.deployment.links[context.node()]
    link.control(mode=mode)
    await curio.sleep(seconds)
    link.control(mode='open')


async def turn_engine_cold(context: FailureContext) -> None:
    """Turn an engine cold without warning."""
    context.deployment.endpoints[context.engine()].control(cold=True)


async def silence_engine(context: FailureContext) -> None:
    """Make the open connections of an engine silent permanently."""
    context.deployment.endpoints[context.engine()].control(silence=True)


async def stop_store(context: FailureContext) -> None:
    """Stop the store for a long failure's duration."""
    context.deployment.store.control(down=True)
    await curio.sleep(LONG_SECONDS)
    context.deployment.store.control(down=False)


async def slow_store(context: FailureContext) -> None:
    """Add latency to the store for a long failure's duration."""
    context.deployment.store.control(latency_seconds=STORE_LATENCY_SECONDS)
    await curio.sleep(LONG_SECONDS)
    context.deployment.store.control(latency_seconds=0)


async def lose_store_answers(context: FailureContext) -> None:
    """Drop the answers to the next writes, which still take effect."""
    context.deployment.store.control(lose_answers=LOST_ANSWER_COUNT)


async def stop_vm_list(context: FailureContext) -> None:
    """Stop the VM list for a long failure's duration."""
    context.deployment.vm_list.control(down=True)
    await curio.sleep(LONG_SECONDS)
    context.deployment.vm_list.control(down=False)


async def move_zone(context: FailureContext) -> None:
    """Take a zone out of service and put it back."""
    zone = context.zone()
    taken_out = await context.operate('zone', 'out', zone)
    await curio.sleep(LONG_SECONDS)
    end = boot_seconds()
    await context.operate('zone', 'in', zone)
    if taken_out.status == 0:
        endpoints = context.deployment.endpoint_names(zone)
        context.absences.append(
            Absence(f'zone {zone}', endpoints, taken_out.ended, end)
        )


async def race_operators(context: FailureContext) -> None:
    """Run two operators' commands on the same VM at the same time."""
    vm = context.source.choice(context.deployment.example.endpoints).vm
    async with curio.TaskGroup() as operators:
        for verb in ('out', 'in'):
            await operators.spawn(context.operate, 'vm', verb, vm)
    await context.operate('vm', 'in', vm)


async def send_poison(context: FailureContext) -> None:
    """Send a request that crashes each engine which runs it."""
    name = f'poison-{len(context.poisoned)}'
    for engine in context.engines():
        context.deployment.endpoints[engine].control(
            crash_marker=word_token(name)
        )
    workspace = context.deployment.example.workspaces[0]
    prompt = f'{name} {length_word(POISON_TOKENS)}'
    record = StreamRecord(name, workspace, REPORT, prompt)
    context.poisoned.append(record)
    await Caller(workspace, context.deployment.addresses()).stream(
        record,
        max_tokens=MAX_TOKENS,
        patience_seconds=POISON_TIMEOUT_SECONDS,
    )


@dataclass(frozen=True, slots=True)
class Failure:
    """One kind of failure; `name` is printed by the soak."""

    name: str
    inject: Callable[[FailureContext], Awaitable[None]]


FAILURES = tuple(
    Failure(function.__name__.replace('_', ' '), function)
    for function in (
        crash_engine,
        kill_service,
        kill_node,
        pause_node,
        drain_node,
        reclaim_engine,
        stall_store_link,
        cut_store_link,
        silence_store_link,
        turn_engine_cold,
        silence_engine,
        stop_store,
        slow_store,
        lose_store_answers,
        stop_vm_list,
        move_zone,
        race_operators,
        send_poison,
    )
)
#: Least and greatest number of failures in one round.
FAILURES_PER_ROUND = (2, 3)


def draw_failures(source: random.Random) -> Sequence[Failure]:
    """Return two or three distinct failures in random order."""
    return source.sample(FAILURES, source.randint(*FAILURES_PER_ROUND))

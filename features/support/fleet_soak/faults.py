"""Failures that a soak draws by seed; each one ends by itself."""

from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from random import Random

import curio

from support.fleet_soak.stage import CORE, SERVICES, Stage
from turmericyard_http.clock import boot_seconds

#: Range of how long a failure lasts, in seconds.
LASTS = (0.5, 6.0)
#: Range of the time after which a killed process starts again, in seconds.
RESTARTS = (0.1, 2.0)
#: Range of the notice with which a runner is taken away, in seconds: shorter
#: and longer than the time after which it must get no request.
NOTICES = (1.5, 6.0)
#: Time in which living runners renew lapsed records, in seconds.
RENEW_SECONDS = 1.5
#: Range of how long a store is away that is restored, in seconds.
AWAY = (0.1, 1.5)
STORE_MODES = ('busy', 'many', 'reset', 'silent')
LINK_MODES = ('cut', 'stalled', 'one-way', 'slow')
RUNNER_FAULTS = ('error', 'hang', 'unsigned', 'foreign', 'reset', 'full')
FAULTY_ANSWERS = (1, 12)
#: Share of the times at which the connections of all links fall silent.
ALL_LINKS_SHARE = 0.4
#: Range of the delay after which SIGKILL follows SIGTERM, in seconds.
IMPATIENCE = (0.1, 2.5)


async def last(source: Random) -> None:
    await curio.sleep(source.uniform(*LASTS))


async def restart(stage: Stage, name: str, source: Random) -> None:
    await curio.sleep(source.uniform(*RESTARTS))
    node = stage.nodes[name]
    node.start()
    await node.until_ready()


def pick_node(stage: Stage, source: Random) -> str:
    return source.choice(sorted(stage.nodes))


async def kill_node(stage: Stage, source: Random) -> None:
    name = pick_node(stage, source)
    with stage.disturbed(name):
        stage.nodes[name].kill()
        await restart(stage, name, source)


async def kill_all_nodes(stage: Stage, source: Random) -> None:
    with stage.disturbed(*stage.nodes):
        for node in stage.nodes.values():
            node.kill()
        async with curio.TaskGroup() as group:
            for name in stage.nodes:
                await group.spawn(restart, stage, name, source)


async def pause_node(stage: Stage, source: Random) -> None:
    name = pick_node(stage, source)
    with stage.disturbed(name):
        stage.nodes[name].pause()
        await last(source)
        stage.nodes[name].resume()


async def end_node(stage: Stage, source: Random) -> None:
    """Ask a node to end and start it again."""
    name = pick_node(stage, source)
    began = boot_seconds()
    took = await stage.nodes[name].end()
    stage.ends.append((name, began, took))
    with stage.disturbed(name):
        await restart(stage, name, source)


async def end_and_kill_node(stage: Stage, source: Random) -> None:
    name = pick_node(stage, source)
    with stage.disturbed(name):
        ending = await curio.spawn(stage.nodes[name].end)
        await curio.sleep(source.uniform(*IMPATIENCE))
        stage.nodes[name].kill()
        await ending.join()
        await restart(stage, name, source)


async def reload_nodes(stage: Stage, source: Random) -> None:
    """Change the seeds in the settings of all nodes."""
    controls = [node.control for node in stage.nodes.values()]
    source.shuffle(controls)
    for node in stage.nodes.values():
        node.seeds = tuple(controls[:2])
        node.reload()


async def disturb_store(stage: Stage, source: Random) -> None:
    """Let the store fail; records of runners may lapse meanwhile."""
    lapsed = [
        identity
        for service in SERVICES
        for identity in stage.living(service)
        if source.random() < 0.5
    ]
    with stage.disturbed(CORE):
        stage.store.mode = source.choice(STORE_MODES)
        await last(source)
        for identity in lapsed:
            stage.store.drop(f'servers/{identity}')
        stage.store.mode = ''
        await curio.sleep(source.uniform(0, RENEW_SECONDS))
        for identity in lapsed:
            if identity not in stage.left_at:
                stage.register(identity)


async def lose_store_writes(stage: Stage, source: Random) -> None:
    with stage.disturbed(CORE):
        stage.store.lose_writes = True
        await last(source)
        stage.store.lose_writes = False


async def deafen_watches(stage: Stage, source: Random) -> None:
    with stage.disturbed(CORE):
        stage.store.deaf = True
        await last(source)
        stage.store.deaf = False


async def compact_store(stage: Stage, source: Random) -> None:
    with stage.disturbed(CORE):
        stage.store.compact()


async def restore_store(stage: Stage, source: Random) -> None:
    """Let the store go on from a copy; its writers write again."""
    backup = stage.store.back_up()
    await last(source)
    with stage.disturbed(CORE):
        stage.store.mode = source.choice(STORE_MODES)
        await curio.sleep(source.uniform(*AWAY))
        stage.store.restore(backup)
        stage.store.mode = ''
        await curio.sleep(source.uniform(0, RENEW_SECONDS))
        stage.write_again()


async def change_link(
    stage: Stage, source: Random, kind: str, scope: str
) -> None:
    names = sorted(name for name in stage.links if name.startswith(kind))
    link = stage.links[source.choice(names)]
    with stage.disturbed(scope):
        await link.control({'mode': source.choice(LINK_MODES)})
        await last(source)
        await link.control({'mode': 'open'})


async def disturb_store_link(stage: Stage, source: Random) -> None:
    await change_link(stage, source, 'store', CORE)


async def disturb_peer_link(stage: Stage, source: Random) -> None:
    await change_link(stage, source, 'peer', CORE)


async def disturb_runner_link(stage: Stage, source: Random) -> None:
    await change_link(stage, source, 'runner', 'runner')


async def silence_connections(stage: Stage, source: Random) -> None:
    """Make the open connections of one link, or of all, silent for good."""
    links = [stage.links[source.choice(sorted(stage.links))]]
    if source.random() < ALL_LINKS_SHARE:
        links = list(stage.links.values())
    with stage.disturbed(CORE, 'runner'):
        for link in links:
            await link.control({'mode': 'silent'})


async def end_runner(stage: Stage, source: Random) -> None:
    """Let a runner end without notice; another one comes."""
    service = source.choice(SERVICES)
    identity = source.choice(stage.living(service))
    with stage.disturbed('runner'):
        await stage.remove_runner(identity)
        await stage.add_runner(service)


async def reclaim_runner(stage: Stage, source: Random) -> None:
    """Take a runner away with notice; its address serves another service."""
    service = source.choice(SERVICES)
    identity = source.choice(stage.living(service))
    with stage.disturbed('runner'):
        stage.left_at[identity] = boot_seconds()
        stage.register(identity, 'draining')
        await stage.add_runner(service)
        await curio.sleep(source.uniform(*NOTICES))
        address = stage.world.runners[identity].address
        await stage.remove_runner(identity)
        await curio.sleep(RENEW_SECONDS)
        await stage.add_runner(source.choice(SERVICES), address)


async def spoil_answers(stage: Stage, source: Random) -> None:
    identity = source.choice(stage.living('plain'))
    runner = stage.world.runners[identity]
    with stage.disturbed('runner'):
        runner.faults_left = source.randint(*FAULTY_ANSWERS)
        runner.fault = source.choice(RUNNER_FAULTS)
        await last(source)
        runner.fault = ''


async def change_configuration(stage: Stage, source: Random) -> None:
    stage.write_configuration()


async def revoke_key(stage: Stage, source: Random) -> None:
    """Replace the key of the clients; the former one is revoked later."""
    former = stage.keys[-1]
    stage.keys.append(f'key-{len(stage.keys) + len(stage.revoked) + 1}')
    stage.write_configuration()
    await last(source)
    if former in stage.keys:
        stage.keys.remove(former)
        stage.write_configuration()
        stage.revoked[former] = boot_seconds()


@dataclass(frozen=True)
class Fault:
    name: str
    bring_about: Callable[[Stage, Random], Awaitable[None]]


FAULTS = tuple(
    Fault(function.__name__.replace('_', ' '), function)
    for function in (
        kill_node,
        kill_all_nodes,
        pause_node,
        end_node,
        end_and_kill_node,
        reload_nodes,
        disturb_store,
        lose_store_writes,
        deafen_watches,
        compact_store,
        restore_store,
        disturb_store_link,
        disturb_peer_link,
        disturb_runner_link,
        silence_connections,
        end_runner,
        reclaim_runner,
        spoil_answers,
        change_configuration,
        revoke_key,
    )
)
#: Failures of one round, which may repeat and overlap.
PER_ROUND = (3, 6)


def draw_faults(source: Random) -> list[Fault]:
    return source.choices(FAULTS, k=source.randint(*PER_ROUND))

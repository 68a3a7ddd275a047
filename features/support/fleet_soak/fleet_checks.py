"""What nodes follow, whom they send to, and how they end and recover."""

from collections.abc import Iterable, Iterator

from support.fleet_soak.evidence import Evidence, told
from support.fleet_soak.load import Asked
from support.fleet_soak.nodes import (
    GRACE_SECONDS,
    RETRY_EXTRA,
    RETRY_RATIO,
    WINDOW_SECONDS,
)
from support.fleet_soak.request_checks import (
    NOT_FOUND,
    OK,
    UNAVAILABLE,
)
from support.fleet_soak.stage import CORE, Stage

#: Time after which a leaving runner gets no request, in seconds (drainMs).
DRAIN_SECONDS = 2.0
#: Time after which a configuration is in force, in seconds (configApplyMs).
APPLY_SECONDS = 2.0
#: Time without trouble after which bounds hold again (stableWindowMs).
STABLE_SECONDS = 4.0
#: Time after a disturbance of it from which a node is in touch, whenever the
#: change was made (stableWindowMs).
IN_TOUCH_SECONDS = 3.0
#: Time past its grace in which an ended node's process exits, in seconds.
EXIT_SECONDS = 1.0
#: Time after the last failure within which every node serves, in seconds.
RECOVERY_SECONDS = 12.0


def nodes_end_in_time(evidence: Evidence) -> Iterator[str]:
    """A node that is told to end does so within its grace."""
    limit = GRACE_SECONDS + EXIT_SECONDS
    for name, began, took in evidence.stage.ends:
        calm = evidence.stage.calm(began, began + limit, name)
        if calm and (took is None or took > limit):
            yield f'{name} told at {began:.2f} took {took}'


def is_in_touch(stage: Stage, asked: Asked) -> bool:
    """Return whether a request's node had been in touch when it was sent."""
    since = asked.began - IN_TOUCH_SECONDS
    return stage.calm(since, asked.began, asked.node, CORE)


def configurations_apply(evidence: Evidence) -> Iterator[str]:
    """A configuration is in force in time at nodes that were in touch."""
    stage = evidence.stage
    for asked in evidence.sent:
        if asked.answer.status != NOT_FOUND:
            continue
        version = int(asked.target.split('/')[1].removeprefix('v') or 0)
        since = stage.versions[version]
        if asked.began > since + APPLY_SECONDS and is_in_touch(stage, asked):
            yield f'version {version} written at {since:.2f}: {told(asked)}'


def configurations_stay(evidence: Evidence) -> Iterator[str]:
    """A process that served a version's route never loses it again."""
    served: dict[tuple[str, float, str], float] = {}
    for asked in sorted(evidence.sent, key=lambda each: each.ended):
        node = evidence.stage.nodes[asked.node]
        start = max(
            (at for at in node.started_at if at < asked.began), default=0.0
        )
        place = (asked.node, start, asked.target.split('/')[1])
        if asked.answer.status == OK:
            served.setdefault(place, asked.ended)
        elif asked.answer.status == NOT_FOUND and (
            served.get(place, float('inf')) < asked.began
        ):
            yield told(asked)


def revoked_keys_are_refused(evidence: Evidence) -> Iterator[str]:
    """A revoked key is refused in time at nodes that were in touch."""
    stage = evidence.stage
    for asked in evidence.sent:
        since = stage.revoked.get(asked.key, float('inf'))
        if asked.began < since + APPLY_SECONDS or not is_in_touch(stage, asked):
            continue
        if asked.answer.status == OK:
            yield f'revoked at {since:.2f}: {told(asked)}'


def leaving_runners_are_left(evidence: Evidence) -> Iterator[str]:
    """A runner that left gets no request of nodes that were in touch."""
    stage = evidence.stage
    for identity, left_at in stage.left_at.items():
        runner = stage.world.runners[identity]
        for at in runner.arrived_at:
            others = (*stage.nodes, CORE)
            calm = stage.calm(left_at - STABLE_SECONDS, at, *others)
            if at > left_at + DRAIN_SECONDS and calm:
                yield f'{identity}: {at - left_at:.2f} s after it left'


def repeats_are_bounded(evidence: Evidence) -> Iterator[str]:
    """Repeats within any window stay within the fleet's budget."""
    arrivals = sorted(plain_arrivals(evidence.stage))
    began = sorted(
        asked.began for asked in evidence.sent if asked.kind != 'stream'
    )
    first: set[str] = set()
    repeats = []
    for at, attempt in arrivals:
        if attempt in first:
            repeats.append(at)
        first.add(attempt)
    for ends in repeats:
        begins = ends - WINDOW_SECONDS
        count = sum(begins < at <= ends for at in repeats)
        offered = sum(begins < at <= ends for at in began)
        if count > RETRY_RATIO * offered + RETRY_EXTRA:
            yield f'{count} repeats of {offered} requests up to {ends:.2f}'
            return


def plain_arrivals(stage: Stage) -> Iterable[tuple[float, str]]:
    for identity, runner in stage.world.runners.items():
        if stage.services[identity] != 'plain':
            continue
        for at, headers in zip(runner.arrived_at, runner.arrivals, strict=True):
            yield at, headers['x-turmericyard-attempt-id']


def failures_are_logged(evidence: Evidence) -> Iterator[str]:
    """A request that a node refused or failed stands in that node's log."""
    stage = evidence.stage
    logs = {
        name: b''.join(
            path.read_bytes() for path in stage.directory.glob(f'{name}.*.log')
        )
        for name in stage.nodes
    }
    for asked in evidence.sent:
        quoted = f'"attempt":"{asked.attempt}"'.encode()
        failed = asked.answer.status >= UNAVAILABLE - 1
        if failed and quoted not in logs[asked.node]:
            yield told(asked)


def nodes_recover(evidence: Evidence) -> Iterator[str]:
    """After the last failure every node serves each kind again."""
    for name, seconds in evidence.recovered.items():
        if seconds > RECOVERY_SECONDS:
            yield f'{name} not within {seconds:.1f} s'

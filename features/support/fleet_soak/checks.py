"""What must hold in a soak, from what clients, runners and nodes show."""

import re
from collections import Counter
from collections.abc import Callable, Iterable, Iterator
from dataclasses import dataclass

from support.fleet_soak.load import Asked, Clients
from support.fleet_soak.nodes import (
    GRACE_SECONDS,
    RETRY_EXTRA,
    RETRY_RATIO,
    WINDOW_SECONDS,
)
from support.fleet_soak.stage import CORE, EVENTS, Stage

#: Time after which a leaving runner gets no request, in seconds (drainMs).
DRAIN_SECONDS = 2.0
#: Time after which a configuration is in force, in seconds (configApplyMs).
APPLY_SECONDS = 2.0
#: Time after which a revoked key is refused, in seconds (revokeMs).
REVOKE_SECONDS = 5.0
#: Time without trouble after which bounds hold again (stableWindowMs).
STABLE_SECONDS = 4.0
#: Time past its deadline in which a request must have its answer, in seconds.
LATE_SECONDS = 1.0
#: Time past its grace in which an ended node's process exits, in seconds.
EXIT_SECONDS = 1.0
#: Time after the last failure within which every node serves, in seconds.
RECOVERY_SECONDS = 12.0
OK = 200
UNAUTHORIZED = 401
NOT_FOUND = 404
UNAVAILABLE = 503
#: Runs that a read may have: the attempts of its route.
READ_RUNS = 2
EVENT = re.compile(rb'id: (\d+)\ndata: (\S+)-(\d+)\n\n')


@dataclass
class Evidence:
    """All that was seen of one soak; `recovered` in seconds by node."""

    stage: Stage
    clients: Clients
    recovered: dict[str, float]

    @property
    def sent(self) -> list[Asked]:
        return [asked for asked in self.clients.asked if asked.sent]


Check = Callable[[Evidence], Iterator[str]]


def run_count(evidence: Evidence, kind: str) -> Counter[str]:
    """Return how often each attempt of a kind began to run."""
    found: Counter[str] = Counter()
    for runner in evidence.stage.world.runners.values():
        found.update(runner.begun if kind == 'stream' else runner.ran)
    return found


def told(asked: Asked) -> str:
    answer = asked.answer
    state = 'whole' if answer.whole else f'not whole {answer.error}'
    return (
        f'{asked.attempt} {asked.target} at {asked.node}: {answer.status} '
        f'{state} after {asked.ended - asked.began:.2f} s '
        f'(began at {asked.began:.2f})'
    )


def ran_too_often(evidence: Evidence, kind: str, most: int) -> Iterator[str]:
    runs = run_count(evidence, kind)
    for asked in evidence.sent:
        if asked.kind == kind and runs[asked.attempt] > most:
            yield f'{runs[asked.attempt]} runs: {told(asked)}'


def writes_run_once(evidence: Evidence) -> Iterator[str]:
    """A call that must not be repeated runs at most once."""
    return ran_too_often(evidence, 'write', 1)


def reads_run_rarely(evidence: Evidence) -> Iterator[str]:
    """A read runs at most as often as its route allows."""
    return ran_too_often(evidence, 'read', READ_RUNS)


def streams_begin_once(evidence: Evidence) -> Iterator[str]:
    """A generation begins once."""
    return ran_too_often(evidence, 'stream', 1)


def answers_belong(evidence: Evidence) -> Iterator[str]:
    """A whole answer with success is the one to its request."""
    for asked in evidence.sent:
        answer = asked.answer
        if asked.kind == 'stream' or answer.status != OK or not answer.whole:
            continue
        expected = f'{asked.target} {asked.attempt}'.encode()
        if answer.body != expected:
            yield f'{answer.body!r}: {told(asked)}'


def streams_are_exact(evidence: Evidence) -> Iterator[str]:
    """Events of a stream come once and in order; whole means all."""
    for asked in evidence.sent:
        answer = asked.answer
        if asked.kind != 'stream' or answer.status != OK:
            continue
        seen = EVENT.findall(answer.body)
        whole = b''.join(
            b'id: %d\ndata: %s-%d\n\n' % (n, asked.attempt.encode(), n)
            for n in range(1, len(seen) + 1)
        )
        if not answer.body.startswith(whole):
            yield f'wrong events {seen[-3:]}: {told(asked)}'
        if answer.whole and (len(seen) != EVENTS or whole != answer.body):
            yield f'{len(seen)} events look whole: {told(asked)}'


def refusals_are_true(evidence: Evidence) -> Iterator[str]:
    """What is refused as unavailable or unknown has not run."""
    runs = run_count(evidence, 'read')
    for asked in evidence.sent:
        refused = asked.answer.status in {
            UNAVAILABLE,
            UNAUTHORIZED,
            NOT_FOUND,
        }
        if refused and runs[asked.attempt]:
            yield f'it ran: {told(asked)}'


def overlapping(evidence: Evidence, asked: Asked) -> bool:
    """Return whether the node was in trouble while it had the request."""
    stage = evidence.stage
    return not stage.calm(asked.began, asked.ended, asked.node)


def answers_are_in_time(evidence: Evidence) -> Iterator[str]:
    """A node that was not in trouble answers by the deadline."""
    for asked in evidence.sent:
        late = asked.ended > asked.deadline + LATE_SECONDS
        if late and not overlapping(evidence, asked):
            yield told(asked)


def calls_are_answered(evidence: Evidence) -> Iterator[str]:
    """A node that was not in trouble gives each call a whole answer."""
    for asked in evidence.sent:
        if asked.kind == 'stream' or asked.answer.whole:
            continue
        if overlapping(evidence, asked) or exits_near(evidence, asked):
            continue
        yield told(asked)


def exits_near(evidence: Evidence, asked: Asked) -> bool:
    """Return whether its node's process ended as the request came."""
    return any(
        name == asked.node
        and took is not None
        and asked.began > began + took - EXIT_SECONDS / 2
        and asked.began < began + took + EXIT_SECONDS
        for name, began, took in evidence.stage.ends
    )


def nodes_end_in_time(evidence: Evidence) -> Iterator[str]:
    """A node that is told to end does so within its grace."""
    limit = GRACE_SECONDS + EXIT_SECONDS
    for name, began, took in evidence.stage.ends:
        calm = evidence.stage.calm(began, began + limit, name)
        if calm and (took is None or took > limit):
            yield f'{name} told at {began:.2f} took {took}'


def configurations_apply(evidence: Evidence) -> Iterator[str]:
    """A configuration is in force in time at nodes that were in touch."""
    stage = evidence.stage
    for asked in evidence.sent:
        if asked.answer.status != NOT_FOUND:
            continue
        version = int(asked.target.split('/')[1].removeprefix('v') or 0)
        since = stage.versions[version]
        in_touch = stage.calm(
            since - STABLE_SECONDS, asked.began, asked.node, CORE
        )
        if in_touch and asked.began > since + APPLY_SECONDS:
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
        in_touch = stage.calm(
            since - STABLE_SECONDS, asked.began, asked.node, CORE
        )
        if not in_touch or asked.began < since + REVOKE_SECONDS:
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


CHECKS: tuple[Check, ...] = (
    writes_run_once,
    reads_run_rarely,
    streams_begin_once,
    answers_belong,
    streams_are_exact,
    refusals_are_true,
    answers_are_in_time,
    calls_are_answered,
    nodes_end_in_time,
    configurations_apply,
    configurations_stay,
    revoked_keys_are_refused,
    leaving_runners_are_left,
    repeats_are_bounded,
    failures_are_logged,
    nodes_recover,
)


def check_all(evidence: Evidence) -> dict[str, list[str]]:
    """Return what broke each promise, by the promise's words."""
    return {
        (check.__doc__ or check.__name__): list(check(evidence))
        for check in CHECKS
    }

"""What clients got, and how often their requests ran."""

import re
from collections.abc import Iterator

from support.fleet_soak.evidence import Evidence, run_count, told
from support.fleet_soak.load import Asked
from support.fleet_soak.stage import EVENTS

#: Time past its deadline in which a request must have its answer, in seconds.
LATE_SECONDS = 1.0
#: A request sent so shortly before or after its node's process ends may cross
#: the end, in seconds.
CROSSING_SECONDS = 0.1
OK = 200
UNAUTHORIZED = 401
NOT_FOUND = 404
UNAVAILABLE = 503
#: Runs that a read may have: the attempts of its route.
READ_RUNS = 2
EVENT = re.compile(rb'id: (\d+)\ndata: (\S+)-(\d+)\n\n')


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


def requests_have_ids(evidence: Evidence) -> Iterator[str]:
    """Every request that reaches a runner has the id of its attempt."""
    for identity, runner in evidence.stage.world.runners.items():
        for stranger in runner.strangers:
            yield f'{identity}: {stranger}'


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
    """Return whether the request was sent as its node's process ended."""
    return any(
        name == asked.node
        and took is not None
        and abs(asked.began - began - took) < CROSSING_SECONDS
        for name, began, took in evidence.stage.ends
    )


def ending_nodes_cut_nothing(evidence: Evidence) -> Iterator[str]:
    """A node that is told to end cuts no stream that it has."""
    stage = evidence.stage
    for asked in evidence.sent:
        answer = asked.answer
        if asked.kind != 'stream' or answer.status != OK or answer.whole:
            continue
        told_meanwhile = any(
            name == asked.node and asked.began < began < asked.ended
            for name, began, _ in stage.ends
        )
        calm = stage.calm(asked.began, asked.ended, asked.node, 'runner')
        if told_meanwhile and calm:
            yield told(asked)

"""Invariants of the system, checked against callers' records and ledgers.

Each check yields a text for every violation; without one it held.
"""

from collections import Counter
from collections.abc import Iterable, Iterator, Sequence
from dataclasses import dataclass, field

from turmericyard_bench.ledgers import Ledgers
from turmericyard_bench.records import CallRecord, LoadRecord, StreamRecord
from turmericyard_bench.transcript import read_transcript, text_tokens

#: Time within which a removed zone or endpoint stops getting work, in seconds.
REMOVAL_DEADLINE_SECONDS = 5.0
#: Time within which an accepted configuration is in force, in seconds.
IN_FORCE_DEADLINE_SECONDS = 5.0
NOT_RUN = 'not-run'
#: Crashes of endpoints after which the pools of the examples refuse a request.
STRIKE_LIMIT = 2


@dataclass(frozen=True, slots=True)
class Absence:
    """Endpoints that were out of service; times in boot-clock seconds.

    `what` names the cause in violations.
    """

    what: str
    endpoints: frozenset[str]
    begin: float
    end: float


@dataclass(frozen=True, slots=True)
class RevisionSeen:
    """The revision that a node reported as in force, and when."""

    node: str
    revision: int
    at: float


@dataclass(slots=True)
class Evidence:
    """Everything that was observed from outside the system in one run."""

    load: LoadRecord
    ledgers: Ledgers
    absences: list[Absence] = field(default_factory=list)
    revisions: list[RevisionSeen] = field(default_factory=list)
    poisoned: list[StreamRecord] = field(default_factory=list)


@dataclass(frozen=True, slots=True)
class InvariantResult:
    """One invariant, the number of cases checked and the violations."""

    name: str
    cases: int
    breaches: tuple[str, ...]

    @property
    def held(self) -> bool:
        """Return whether there was no violation."""
        return not self.breaches

    @property
    def verdict(self) -> str:
        """Return `held`, `broken`, or `not checked` when there was no case."""
        if self.breaches:
            return 'broken'
        return 'held' if self.cases else 'not checked'


def check_all(evidence: Evidence) -> list[InvariantResult]:
    """Return the result of every invariant."""
    load = evidence.load
    streams = len(load.streams)
    refusals = sum(each.outcome == NOT_RUN for each in load.verdicts())
    keys = len({call.key for call in load.calls if call.key})
    checks = (
        (
            'each token once, in order, from one generation',
            streams,
            check_tokens,
        ),
        (
            'cold endpoints get no more than their capacity',
            len(evidence.ledgers.excesses),
            check_cold,
        ),
        (
            'no new work at endpoints out of service',
            len(evidence.absences),
            check_absences,
        ),
        (
            'every request got its own, complete answer',
            streams + len(load.calls),
            check_answers,
        ),
        ('a request answered not-run did not run', refusals, check_not_run),
        ('a non-idempotent call runs at most once', keys, check_at_most_once),
        (
            'no node goes back to an older configuration',
            len(evidence.revisions),
            check_revisions,
        ),
        (
            'a request that crashes endpoints is refused for good',
            len(evidence.poisoned),
            check_poison,
        ),
    )
    return [
        InvariantResult(name, cases, tuple(check(evidence)))
        for name, cases, check in checks
    ]


def check_tokens(evidence: Evidence) -> Iterator[str]:
    """Yield streams whose tokens are not all from one generation."""
    by_request: dict[str, set[str]] = {}
    for entry in evidence.ledgers.generations:
        by_request.setdefault(entry.request, set()).add(entry.generation)
    for record in evidence.load.streams:
        fault = stream_fault(record)
        if fault:
            yield f'{record.request}: {fault}'
        if record.tokens and record.request not in by_request:
            yield f'{record.request}: tokens received, but in no engine ledger'


def stream_fault(record: StreamRecord) -> str:
    """Return what is wrong with the received tokens, or an empty string."""
    offsets = [token.offset for token in record.tokens]
    if offsets != list(range(len(offsets))):
        return f'offsets are not 0 to {len(offsets) - 1} in order'
    transcript = read_transcript(text_tokens(record.prompt), record.text)
    if transcript.fault:
        return transcript.fault
    if record.whole and record.told_tokens != len(offsets):
        return f'{len(offsets)} tokens received of {record.told_tokens}'
    return ''


def check_cold(evidence: Evidence) -> Iterator[str]:
    """Yield endpoints that were given more than their cold capacity."""
    for endpoint, count in evidence.ledgers.excesses.items():
        if count:
            yield f'{endpoint}: cold capacity exceeded {count} times'


def check_absences(evidence: Evidence) -> Iterator[str]:
    """Yield work that began at endpoints out of service."""
    for absence in evidence.absences:
        begin = absence.begin + REMOVAL_DEADLINE_SECONDS
        late = evidence.ledgers.work_after(
            absence.endpoints, begin, absence.end
        )
        for endpoint, at in late:
            yield f'{absence.what}: {endpoint} {at - absence.begin:.1f} s later'


def check_answers(evidence: Evidence) -> Iterator[str]:
    """Yield requests without the complete answer to them.

    A non-idempotent call may end with its outcome unknown.
    """
    for stream in evidence.load.streams:
        if not stream.whole:
            yield f'{stream.name}: {last_verdict(stream)}'
    for call in evidence.load.calls:
        if call.outcome_unknown:
            continue
        if not call.done:
            yield f'{call.name}: {last_verdict(call)}'
        elif call.result['echo'] != call.payload:
            yield f'{call.name}: got the answer to {call.result["echo"]}'


def last_verdict(record: StreamRecord | CallRecord) -> str:
    """Return a description of the last answer."""
    if not record.verdicts:
        return 'no answer'
    last = record.verdicts[-1]
    return f'{last.outcome} {last.kind} after {record.attempts} attempts'


def check_not_run(evidence: Evidence) -> Iterator[str]:
    """Yield request ids that were answered `not-run` and ran."""
    worked = evidence.ledgers.worked_requests()
    for verdict in evidence.load.verdicts():
        if verdict.outcome == NOT_RUN and verdict.request in worked:
            yield f'{verdict.request}: ran, answered not-run: {verdict.kind}'


def check_at_most_once(evidence: Evidence) -> Iterator[str]:
    """Yield keys whose call ran twice, or was answered done and never ran."""
    runs = evidence.ledgers.runs_by_key()
    for key, count in runs.items():
        if count > 1:
            yield f'{key}: ran {count} times'
    for record in evidence.load.calls:
        if record.key and record.done and not runs[record.key]:
            yield f'{record.key}: answered done, but never ran'


def check_revisions(evidence: Evidence) -> Iterator[str]:
    """Yield nodes at which an older revision followed a newer one."""
    for node, seen in by_node(evidence.revisions).items():
        for earlier, later in zip(seen, seen[1:], strict=False):
            if later.revision < earlier.revision:
                yield f'{node}: {earlier.revision} then {later.revision}'


def check_poison(evidence: Evidence) -> Iterator[str]:
    """Yield crashing requests that the strike limit did not stop."""
    crashes: Counter[str] = Counter()
    for requests in evidence.ledgers.crashed:
        names = {request.rpartition('.')[0] for request in requests}
        crashes.update(names)
    for record in evidence.poisoned:
        if crashes[record.name] > STRIKE_LIMIT:
            yield f'{record.name}: crashed {crashes[record.name]} engines'
        if crashes[record.name] and not record.refused:
            yield f'{record.name}: {last_verdict(record)}'


def by_node(
    revisions: Iterable[RevisionSeen],
) -> dict[str, Sequence[RevisionSeen]]:
    """Return the observations of each node, in the order of the polls."""
    grouped: dict[str, list[RevisionSeen]] = {}
    for seen in revisions:
        grouped.setdefault(seen.node, []).append(seen)
    return dict(grouped)

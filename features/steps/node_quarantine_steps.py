"""Steps for requests that crash endpoints."""

import json
import time
from http.client import HTTPConnection, HTTPException

import curio
from behave import given, then, when
from behave.runner import Context

from support.runs import REPORT, Run, ask
from turmericyard_bench.caller import Caller
from turmericyard_bench.ledgers import read_ledgers
from turmericyard_bench.records import StreamRecord

WORKSPACES = ('ljubljana-voda', 'maribor-vodovod', 'celje-svetovanje')
PAUSE_SECONDS = 1
ANSWER_SECONDS = 60


@given('the engines crash on any prompt with the word "{word}"')
def step_marker(context: Context, word: str) -> None:
    for endpoint in context.run.deployment.example.endpoints:
        if endpoint.is_engine:
            process = context.run.deployment.endpoints[endpoint.name]
            process.control(crash_marker=word)


@given('{count:d} callers read reports of {tokens:d} tokens')
def step_callers(context: Context, count: int, tokens: int) -> None:
    addresses = context.run.deployment.addresses()
    for number in range(count):
        workspace = WORKSPACES[number % len(WORKSPACES)]
        start = number % len(addresses)
        caller = Caller(workspace, [*addresses[start:], *addresses[:start]])
        context.run.start_report(f'innocent-{number}', tokens, caller)
    time.sleep(PAUSE_SECONDS)


@when(
    'a caller sends a prompt with the word "{word}" to each node in turn,'
    ' {count:d} times with new keys'
)
def step_poison(context: Context, word: str, count: int) -> None:
    addresses = context.run.deployment.addresses()
    context.kinds = []
    for number in range(count):
        address = addresses[number % len(addresses)]
        context.kinds.append(send_poison(address, word, number))
        time.sleep(PAUSE_SECONDS)


def send_poison(address: str, word: str, number: int) -> str:
    body = {
        'product': 'household-report',
        'workspace': WORKSPACES[0],
        'prompt': f'a {word} report',
        'stream': False,
    }
    connection = HTTPConnection(address, timeout=60)
    try:
        connection.request(
            'POST',
            '/v1/generate',
            json.dumps(body),
            {'idempotency-key': f'poison-{number}'},
        )
        answer = json.loads(connection.getresponse().read())
    except (OSError, HTTPException) as error:
        return repr(error)
    finally:
        connection.close()
    return str(answer.get('kind', answer['outcome']))


@when(
    '{count:d} workspaces send different prompts with the word "{word}" at once'
)
def step_poisons(context: Context, count: int, word: str) -> None:
    run: Run = context.run
    addresses = run.deployment.addresses()
    threads = []
    for number in range(count):
        caller = Caller(
            WORKSPACES[number], addresses[number:] + addresses[:number]
        )
        record = StreamRecord(
            f'poison-{number}',
            caller.workspace,
            REPORT,
            f'{word} in basement {number}',
        )
        run.poisoned.append(record)
        threads.append(run.spawn(ask, caller, record))
    for thread in threads:
        thread.join(ANSWER_SECONDS)
        assert not thread.is_alive(), run.poisoned


@then('each of them got its final answer "{kind}"')
def step_final(context: Context, kind: str) -> None:
    for record in context.run.poisoned:
        last = record.verdicts[-1]
        assert (last.outcome, last.kind) == ('refused', kind), record.verdicts


def crash_times(run: Run, name: str) -> list[float]:
    """Return when engines died that ran a request of this name."""
    found = []
    for endpoint in run.deployment.example.endpoints:
        if not endpoint.is_engine:
            continue
        ledger = run.deployment.endpoints[endpoint.name].ledger()
        own = {
            row['generation']
            for row in ledger['generations']
            if row['request'].rpartition('.')[0] == name
        }
        found.extend(
            each['at']
            for each in ledger['occurrences']
            if each['kind'] == 'crash' and own & set(each['detail'].split())
        )
    return sorted(found)


@then('each of them crashed at most {count:d} engines')
def step_crashes(context: Context, count: int) -> None:
    for record in context.run.poisoned:
        crashes = crash_times(context.run, record.name)
        assert 0 < len(crashes) <= count, (record.name, crashes)


@then('each final answer came within {seconds:d} seconds of its last crash')
def step_at_once(context: Context, seconds: int) -> None:
    for record in context.run.poisoned:
        crashes = crash_times(context.run, record.name)
        assert crashes, record.verdicts
        late = record.verdicts[-1].at - crashes[-1]
        assert late < seconds, (record.name, late, crashes)


@then('no engine runs them again when each node is asked once more')
def step_again(context: Context) -> None:
    run: Run = context.run
    for record in run.poisoned:
        before = crash_times(run, record.name)
        for address in run.deployment.addresses():
            again = StreamRecord(
                f'{record.name}-again',
                record.workspace,
                REPORT,
                record.prompt,
            )
            curio.run(ask, Caller(record.workspace, [address]), again)
            assert again.refused, again.verdicts
            assert again.attempts == 1, again.verdicts
            started = read_ledgers(run.deployment).generations
            assert all(each.request != again.request for each in started)
        assert crash_times(run, record.name) == before


@then('its last answers are "{kind}"')
def step_kinds(context: Context, kind: str) -> None:
    assert context.kinds[-3:] == [kind] * 3, context.kinds


@then('at most {count:d} engines died')
def step_deaths(context: Context, count: int) -> None:
    deaths = 0
    for endpoint in context.run.deployment.example.endpoints:
        if endpoint.is_engine:
            process = context.run.deployment.endpoints[endpoint.name]
            seen = process.ledger()['occurrences']
            deaths += sum(each['kind'] == 'crash' for each in seen)
    assert 0 < deaths <= count, (deaths, context.kinds)


@then("the other callers' reports arrive complete")
def step_other_reports(context: Context) -> None:
    context.run.join()
    for record in context.run.load.streams:
        assert record.whole, (record.name, record.verdicts)

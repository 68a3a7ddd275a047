"""Steps for the engine client against the engine stand-in."""

from behave import given, then, when
from behave.runner import Context
from returns.result import Failure, Success

from support.engine_caller import Caller, load
from turmericyard_bench.deployment import wait_until
from turmericyard_bench.launch import free_port
from turmericyard_bench.transcript import (
    read_transcript,
)
from turmericyard_clients.engine_errors import (
    GenerationUnknown,
    NotStarted,
    OrderOutdated,
)

SOON_SECONDS = 30


def start_engine(context: Context, *options: str) -> None:
    arguments = ['--port', str(free_port()), '--start-warm', *options]
    context.engine = context.launcher.start_ready(
        'engine', 'turmericyard_bench.standins.engine', arguments
    )
    context.caller = Caller(context.engine.address)
    context.add_cleanup(context.caller.close)


@given('an engine stand-in with fast steps')
def step_engine(context: Context) -> None:
    start_engine(
        context,
        *('--step-scale', '0.2', '--grace-seconds', '1'),
        *('--weights-seconds', '0.5', '--lag-seconds', '0.1'),
    )


@given('an engine stand-in with slow steps')
def step_slow_engine(context: Context) -> None:
    start_engine(context, '--step-scale', '100')


@given('the engine stand-in has stopped')
def step_stopped(context: Context) -> None:
    context.engine.kill()


@given('the engine crashes on prompt token {token:d}')
def step_marker(context: Context, token: int) -> None:
    context.engine.control(crash_marker=token)


@given('the engine {fault} a token on the next resume')
def step_chunk_fault(context: Context, fault: str) -> None:
    name = {'repeats': 'repeat_chunk', 'skips': 'skip_chunk'}[fault]
    context.engine.control(**{name: 1})


@when('an engine client generates {length:d} tokens')
def step_generate(context: Context, length: int) -> None:
    context.caller.run(context.caller.open, length)
    context.caller.run(context.caller.read)


@when('an engine client generates from a prompt with token {token:d}')
def step_marker_prompt(context: Context, token: int) -> None:
    context.restart = load(context).restart
    context.caller.run(context.caller.open, 50, (token,))
    context.caller.run(context.caller.read)


@when(
    'an engine client reads {count:d} tokens of {length:d} and closes the '
    'connection'
)
def step_read_and_close(context: Context, count: int, length: int) -> None:
    caller = context.caller
    caller.run(caller.open, length)
    caller.run(caller.read, count)
    caller.run(caller.stream.close)


@when('the engine client resumes after its last token')
@then('the engine client resumes after its last token')
def step_resume(context: Context) -> None:
    context.caller.run(context.caller.resume)
    context.caller.run(context.caller.read)


@when(
    'an engine client reads {count:d} tokens of {length:d} and cancels it twice'
)
def step_cancel_twice(context: Context, count: int, length: int) -> None:
    caller = context.caller
    caller.run(caller.open, length)
    caller.run(caller.read, count)
    for _ in range(2):
        cancelled = caller.run(caller.client.cancel_generation, 'g')
        assert isinstance(cancelled, Success), cancelled


@when('the engine is ordered with fencing {fencing:d} to load model "{model}"')
def step_order(context: Context, fencing: int, model: str) -> None:
    order = context.caller.client.order
    accepted = context.caller.run(order, 'load-model', model, fencing)
    assert isinstance(accepted, Success), accepted


@when('an engine client waits for a generation to start')
def step_wait_start(context: Context) -> None:
    context.caller.run(context.caller.open, 2)
    context.caller.run(context.caller.read, 1)


@then('the engine text is complete with {tokens:d} tokens from one generation')
def step_complete(context: Context, tokens: int) -> None:
    transcript = read_transcript(context.caller.prompt, context.caller.text)
    assert not transcript.fault, transcript
    assert transcript.tokens == tokens


@then(
    'the engine ledger lists the generation with {tokens:d} tokens and '
    'reason "{reason}"'
)
def step_ledger(context: Context, tokens: int, reason: str) -> None:
    (entry,) = context.engine.ledger()['generations']
    assert (entry['request'], entry['produced']) == ('r', tokens)
    assert entry['reason'] == reason
    assert entry['accepted'] <= entry['start'] <= entry['end']


@then('the engine ledger soon shows the reason "{reason}"')
def step_reason(context: Context, reason: str) -> None:
    def shows():
        (entry,) = context.engine.ledger()['generations']
        return entry['reason'] == reason

    assert wait_until(shows, SOON_SECONDS)


@then('the engine reports an unknown generation to a resume')
def step_unknown(context: Context) -> None:
    caller = context.caller
    resumed = caller.run(caller.client.resume_generation, 'other', 0)
    assert resumed == Failure(GenerationUnknown(caller.client.address, 'other'))
    if caller.broken:
        resumed = caller.run(caller.client.resume_generation, 'g', 5)
        assert isinstance(resumed.failure(), GenerationUnknown)


@then('an engine start fails as not started with kind "{kind}"')
def step_not_started(context: Context, kind: str) -> None:
    failed = context.caller.run(context.caller.start, 5).failure()
    assert isinstance(failed, NotStarted)
    assert failed.kind == kind


@then(
    'an engine start of model "{model}" fails as not started with kind "{kind}"'
)
def step_no_model(context: Context, model: str, kind: str) -> None:
    async def start():
        return await context.caller.start(5, model=model)

    failed = context.caller.run(start).failure()
    assert isinstance(failed, NotStarted)
    assert failed.kind == kind
    assert not context.engine.ledger()['generations']


@then('the engine stream is broken')
def step_broken(context: Context) -> None:
    assert context.caller.broken is not None


@then('the engine soon reports model "{model}"')
def step_reports_model(context: Context, model: str) -> None:
    assert wait_until(lambda: load(context).model == model, SOON_SECONDS)


@then('the engine resume begins 1 token {direction}')
def step_resume_offset(context: Context, direction: str) -> None:
    shift = {'early': -1, 'late': 1}[direction]
    first = context.caller.run(context.caller.first_token)
    assert first == context.caller.tokens + shift


@then(
    'the engine order with fencing {fencing:d} is outdated with highest '
    '{highest:d}'
)
def step_outdated(context: Context, fencing: int, highest: int) -> None:
    order = context.caller.client.order
    outdated = context.caller.run(order, 'set-role', 'serve', fencing)
    address = context.caller.client.address
    assert outdated == Failure(OrderOutdated(address, highest))


@then('the engine stream carries a heartbeat before the first token')
def step_heartbeat(context: Context) -> None:
    assert context.caller.heartbeats >= 1

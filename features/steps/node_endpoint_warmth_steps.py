"""Steps for the warmth that an owner infers from completed work."""

from types import SimpleNamespace

from behave import given, then, when
from behave.runner import Context

from turmericyard_clients.engine_reports import PrefixEvent, PrefixEvents
from turmericyard_decisions.pace import PaceSample, record_pace_sample
from turmericyard_decisions.prefix_index import PrefixIndex
from turmericyard_node.endpoint_state import create_endpoint_state
from turmericyard_node.polling import apply_cache_events
from turmericyard_protocol.messages import PermitRelease
from turmericyard_tables.models import Pool, WorkKind

TOKEN_SECONDS = 0.03

#: Position of the missing event in the sequence.
GAP = 6


@given('an engine in cold start with capacity {count:d}')
def step_cold(context: Context, count: int) -> None:
    pool = Pool('p', ('x',), WorkKind.GENERATION, count, 16, 24_000)
    context.state = create_endpoint_state('e', pool)
    context.now = 0.0
    context.sequence = 0
    candidates = SimpleNamespace(prefixes=PrefixIndex())
    context.application = SimpleNamespace(candidates=candidates)


@when('{count:d} answers of {tokens:d} tokens end there one after the other')
@when('{count:d} answer of {tokens:d} tokens ends there')
def step_end(context: Context, count: int, tokens: int) -> None:
    for _ in range(count):
        context.now += 0.5
        sample = PaceSample(tokens, tokens, tokens * TOKEN_SECONDS)
        record_pace_sample(context.state.warmth, sample, 1, context.now)
        release = PermitRelease('e', 'w', 'x', 'ws', True, tokens, 0.05)
        context.state.settle(release, context.now)


def publish(context: Context, *kinds: str, gap: int | None = None) -> None:
    """Let the engine publish events of the prefixes p0, p1 and so on."""
    events = []
    for number, kind in enumerate(kinds):
        context.sequence += 1
        if number != gap:
            event = PrefixEvent(context.sequence, kind, f'p{number}')
            events.append(event)
    published = PrefixEvents(context.sequence, tuple(events))
    apply_cache_events(
        context.application, context.state, published, context.now
    )


@when('it publishes that it stored {count:d} prefixes')
def step_stored(context: Context, count: int) -> None:
    publish(context, *['stored'] * count)


@when('it publishes that it evicted {count:d} prefixes')
def step_evicted(context: Context, count: int) -> None:
    publish(context, *['evicted'] * count)


@when('it publishes that it evicted {count:d} prefixes, with a gap')
def step_evicted_gap(context: Context, count: int) -> None:
    publish(context, *['evicted'] * count, gap=GAP)


@when('it publishes that it evicted {count:d} prefixes and stored 1')
def step_replaced(context: Context, count: int) -> None:
    publish(context, *['evicted'] * count, 'stored')


@then('its owner takes its capacity to be {count:d}')
def step_capacity(context: Context, count: int) -> None:
    assert context.state.bound(context.now) == count

"""Steps for clients that no one controls."""

import curio
from behave import then, when
from behave.runner import Context

from support.untrusted.crowd import meet_crowd
from support.untrusted.process import BYTES_PER_MB, DESCRIPTORS, MEMORY_MB

LISTENERS = {
    'clients': 'front',
    'control': 'control',
    'the directory': 'directory_address',
}


@when(
    'a crowd of {members:d} sends {form} to the listener for {listener}'
    ' of a {state} node'
)
def step_crowd(
    context: Context, members: int, form: str, listener: str, state: str
) -> None:
    async def meet() -> None:
        context.met = await meet_crowd(
            context.launcher,
            form,
            members,
            LISTENERS[listener],
            relaying=state == 'relaying',
        )

    curio.run(meet)
    met = context.met
    print(
        f'{form}, {listener}, {state}: survived {met.survived},'
        f' peak {met.peak / BYTES_PER_MB:.1f} MB,'
        f' unread {met.node.most_unread / BYTES_PER_MB:.1f} MB,'
        f' descriptors {met.node.most_descriptors},'
        f' answer {met.answer.status} {met.answer.error}'
    )


@then('its process lives within its memory and descriptors')
def step_bounds(context: Context) -> None:
    met = context.met
    assert met.survived
    used = met.peak + met.node.most_unread
    assert used <= MEMORY_MB * BYTES_PER_MB, used
    assert met.node.most_descriptors <= DESCRIPTORS, met.node.most_descriptors


@then('it answers one ordinary request')
def step_answer(context: Context) -> None:
    answer = context.met.answer
    assert answer.whole, answer
    assert answer.status == 200, answer

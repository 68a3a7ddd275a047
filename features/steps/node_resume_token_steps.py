"""Steps for resume tokens."""

from behave import given, then, when
from behave.runner import Context
from hypothesis import given as property_given
from hypothesis import seed, settings
from hypothesis import strategies as st
from returns.result import Failure, Success

from turmericyard_node.resume_token import (
    ResumePoint,
    decode_token,
    encode_token,
)

SECRET = b'the cluster secret'


@given('the resume token of a generation of workspace "{workspace}"')
def step_token(context: Context, workspace: str) -> None:
    context.point = ResumePoint(
        'r', 'g', 'engine-1', '127.0.0.1:1', 'node-1', 'report', workspace
    )
    context.token = encode_token(SECRET, context.point)


@then('it is accepted for workspace "{workspace}"')
def step_accepted(context: Context, workspace: str) -> None:
    decoded = decode_token(SECRET, context.token, workspace)
    assert decoded == Success(context.point)


@then('it is refused for workspace "{workspace}"')
def step_refused(context: Context, workspace: str) -> None:
    assert isinstance(decode_token(SECRET, context.token, workspace), Failure)


@when('{count:d} changed or arbitrary tokens are checked')
def step_forge(context: Context, count: int) -> None:
    context.accepted = []
    token = context.token
    changed = st.builds(
        lambda place, text: f'{token[:place]}{text}{token[place + 1 :]}',
        st.integers(0, len(token) - 1),
        st.characters(max_codepoint=0x2FF),
    )

    @seed(7)
    @settings(max_examples=count, database=None, deadline=None)
    @property_given(changed | st.text())
    def check(forged: str) -> None:
        decoded = decode_token(SECRET, forged, context.point.workspace)
        if forged != token and isinstance(decoded, Success):
            context.accepted.append(forged)

    check()


@then('none of them is accepted')
def step_none(context: Context) -> None:
    assert not context.accepted, context.accepted

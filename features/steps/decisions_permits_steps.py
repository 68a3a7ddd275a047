"""Steps for shares, loans, permits and the stored view."""

from behave import given, then, when
from behave.runner import Context
from hypothesis import given as draw
from hypothesis import seed, settings
from hypothesis import strategies as st
from hypothesis.stateful import run_state_machine_as_test

from support.machines import machine_settings
from support.permit_faults import machine_without
from support.permit_machine import PermitMachine
from turmericyard_decisions.loan import Holder
from turmericyard_decisions.share import share_size, share_slots
from turmericyard_decisions.view import (
    create_view,
    find_owner,
    inherit_slots,
    move_slots,
    plan_rebalancing,
    reassign_orphaned_slots,
)


@when('permits run {examples:d} histories with limit {limit:d} and seed {n:d}')
def step_run_permits(
    context: Context, examples: int, limit: int, n: int
) -> None:
    machine = seed(n)(type('Protected', (PermitMachine,), {'limit': limit}))
    run_state_machine_as_test(machine, settings=machine_settings(examples))


@then("the endpoint never ran more than the permits' limit")
def step_permits_held(context: Context) -> None:
    """Do nothing: the histories of the previous step raise on a failure."""


@then(
    'within {examples:d} histories of seeds 1 to {last:d} the limit is exceeded'
    ' unless "{protection}"'
)
def step_unprotected(
    context: Context, examples: int, last: int, protection: str
) -> None:
    """Try seeds in turn: hypothesis's draws depend on the modules loaded."""
    for n in range(1, last + 1):
        machine = seed(n)(machine_without(protection))
        try:
            run_state_machine_as_test(
                machine, settings=machine_settings(examples)
            )
        except AssertionError:
            return
    raise AssertionError(
        f'no history failed without this protection: {protection}'
    )


@then('shares of any bound sum to it and grow with it')
def step_shares(context: Context) -> None:
    @seed(1)
    @settings(database=None, deadline=None)
    @draw(st.integers(0, 500), st.integers(1, 9))
    def check(bound: int, count: int) -> None:
        sizes = [share_size(bound, rank, count) for rank in range(count)]
        larger = [share_size(bound + 1, rank, count) for rank in range(count)]
        assert sum(sizes) == bound
        assert all(a <= b for a, b in zip(sizes, larger, strict=True))

    check()


@then('the slots of any endpoint are distinct and always the same')
def step_slots(context: Context) -> None:
    @seed(1)
    @settings(database=None, deadline=None)
    @draw(st.text(), st.integers(1, 5), st.integers(5, 64))
    def check(endpoint: str, count: int, slots: int) -> None:
        chosen = share_slots(endpoint, count, slots)
        assert len(set(chosen)) == count
        assert chosen == share_slots(endpoint, count, slots)

    check()


@given('a view of {slots:d} slots over nodes {names}')
def step_view(context: Context, slots: int, names: str) -> None:
    members = [Holder(name, '1') for name in names.split(',')]
    context.view = create_view(members, slots)
    context.members = {member.node: member for member in members}


@when('node {name} restarts and inherits its slots')
def step_inherit(context: Context, name: str) -> None:
    context.members[name] = Holder(name, '2')
    context.view = inherit_slots(context.view, context.members[name])


@when('node {name} is gone and its slots are reassigned')
def step_gone(context: Context, name: str) -> None:
    gone = {context.members.pop(name)}
    live = set(context.members.values())
    context.view = reassign_orphaned_slots(context.view, gone, live)


@when('node {name} joins and the others move at most {limit:d} slots each')
def step_join(context: Context, name: str, limit: int) -> None:
    context.members[name] = Holder(name, '1')
    step_rebalance(context, name, limit)


@when('the others of node {name} move at most {limit:d} slots each')
def step_rebalance(context: Context, name: str, limit: int) -> None:
    live = frozenset(context.members.values())
    for surplus_holder in sorted(live, key=lambda member: member.node):
        moves = plan_rebalancing(context.view, surplus_holder, live, limit)
        assert len(moves) <= limit
        assert all(
            context.view.slots[n].holder == surplus_holder for n in moves
        )
        if moves:
            context.view = move_slots(context.view, moves)


@then('the view has epoch {epoch:d} and slot counts {counts}')
def step_counts(context: Context, epoch: int, counts: str) -> None:
    assert context.view.epoch == epoch, context.view.epoch
    seen = {
        f'{holder.node}/{holder.incarnation}': len(context.view.held_by(holder))
        for holder in context.view.holders()
    }
    text = ' '.join(f'{name}={seen[name]}' for name in sorted(seen))
    assert text == counts, text


@then('the only slots that never moved are those of {names}')
def step_never_moved(context: Context, names: str) -> None:
    unmoved = {
        slot.holder.node
        for number, slot in enumerate(context.view.slots)
        if context.view.never_moved(number)
    }
    assert unmoved == set(names.split(',')), unmoved


@then('with only {names} live the owner of slots {numbers} is {owner}')
def step_owner(context: Context, names: str, numbers: str, owner: str) -> None:
    slots = [int(number) for number in numbers.split(',')]
    live = set(names.split(','))
    assert str(find_owner(context.view, slots, live)) == owner

"""Steps for the fair queue."""

from behave import given, then, when
from behave.runner import Context
from hypothesis import given as draw
from hypothesis import seed, settings
from hypothesis import strategies as st

from turmericyard_decisions.fair_queue import QueueEntry, create_fair_queue


def entry(
    name: str, workspace: str, tokens: float, priority: int = 1
) -> QueueEntry:
    product = 'reports' if priority else 'labels'
    return QueueEntry(name, product, workspace, priority, tokens, 0, 30)


def fill(
    context: Context, workspace: str, count: int, each: QueueEntry
) -> None:
    for number in range(count):
        one = entry(
            f'{workspace}-{each.priority}-{number}',
            workspace,
            each.expected_tokens,
            each.priority,
        )
        context.queue.push(one)


@given('workspace "{name}" has {count:d} waiting reports of {size:d} tokens')
def step_waiting(context: Context, name: str, count: int, size: int) -> None:
    context.queue = create_fair_queue()
    fill(context, name, count, entry('', name, size))


@when('workspace "{name}" adds 1 report of {size:d} tokens')
def step_adds(context: Context, name: str, size: int) -> None:
    context.queue.pop()
    fill(context, name, 1, entry('', name, size))


@when('workspace "{name}" adds {count:d} urgent labels of {size:d} tokens')
def step_labels(context: Context, name: str, count: int, size: int) -> None:
    fill(context, name, count, entry('', name, size, 0))


@when('the first request is taken and put back')
def step_put_back(context: Context) -> None:
    context.taken = context.queue.pop()
    context.queue.requeue(context.taken)


@then('workspace "{name}" is served within the next {count:d} requests')
def step_served(context: Context, name: str, count: int) -> None:
    served = [context.queue.pop().workspace for _ in range(count)]
    assert name in served, served


@then('the labels are served within the next {count:d} requests')
def step_labels_served(context: Context, count: int) -> None:
    served = [context.queue.pop().product for _ in range(count)]
    assert served.count('labels') == 5, served


@then('a report is served within the next {count:d} requests')
def step_report_served(context: Context, count: int) -> None:
    assert 'reports' in [context.queue.pop().product for _ in range(count)]


@then('the first request is served next and nothing is charged twice')
def step_served_next(context: Context) -> None:
    assert context.queue.pop() == context.taken
    assert len(context.queue) == 2
    assert context.queue.root.tokens == 2000
    assert [one.served for one in context.queue.root.children.values()] == [
        4000,
    ]


@then('all {count:d} are returned after their deadline')
def step_expired(context: Context, count: int) -> None:
    assert not context.queue.pop_expired(29)
    assert len(context.queue.pop_expired(30)) == count
    assert not len(context.queue)


@then('workspace "{name}" is predicted at most {tokens:d} tokens ahead')
def step_ahead(context: Context, name: str, tokens: int) -> None:
    assert context.queue.tokens_ahead(entry('new', name, 1000)) <= tokens


@then('any weights and lengths keep busy workspaces within one request')
def step_shares(context: Context) -> None:
    flows = st.lists(
        st.tuples(st.integers(1, 5), st.integers(1, 500)),
        min_size=2,
        max_size=5,
    )

    @seed(11)
    @settings(database=None, deadline=None, max_examples=60)
    @draw(flows)
    def check(workspaces) -> None:
        queue = create_fair_queue()
        for number, (weight, size) in enumerate(workspaces):
            for copy in range(60):
                queue.push(entry(f'{copy}', f'w{number}', size), weight)
        served = [0.0] * len(workspaces)
        for _ in range(50):
            one = queue.pop()
            place = int(one.workspace[1:])
            served[place] += one.expected_tokens / workspaces[place][0]
        spread = max(size / weight for weight, size in workspaces)
        assert max(served) - min(served) <= spread + 1e-6

    check()


@given(
    'workspace "{name}" has {count:d} reports that arrived one after the other'
)
def step_arrived(context: Context, name: str, count: int) -> None:
    context.queue = create_fair_queue()
    for number in range(count):
        context.queue.push(
            QueueEntry(str(number), 'reports', name, 1, 100, number, 30)
        )


@when('{count:d} of them are taken and put back in another order')
def step_put_back_shuffled(context: Context, count: int) -> None:
    taken = [context.queue.pop() for _ in range(count)]
    for each in (taken[1], taken[3], taken[0], taken[2]):
        context.queue.requeue(each)


@then('workspace "{name}" is served in the order of arrival')
def step_in_order(context: Context, name: str) -> None:
    served = [context.queue.pop().request_id for _ in range(6)]
    assert served == sorted(served), served

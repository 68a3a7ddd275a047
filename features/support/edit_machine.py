"""Stateful test of racing edits: the order of store calls is drawn.

Every edit runs as a coroutine that stops before each call to the store and
in each pause; a rule lets one of them go on. What must hold is judged from
the history of stored values alone.
"""

import random
import types
from collections.abc import Iterator
from dataclasses import dataclass, field

from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    initialize,
    invariant,
    precondition,
    rule,
)
from returns.result import Result, Success

from support.fake_store import FakeStore, Fault
from turmericyard_clients.store import Entry, StoreError
from turmericyard_tables.commit import AcceptedEdit, RetryPolicy, commit_edit
from turmericyard_tables.document import (
    CONFIGURATION_KEY,
    Document,
    configure,
    encode_document,
    read_document,
)
from turmericyard_tables.edit import (
    BringIn,
    Change,
    Edit,
    PlaceKind,
    RowChange,
    TakeOut,
    apply_edit,
)
from turmericyard_tables.errors import EditError, EditUnknown
from turmericyard_tables.ini import RowKey
from turmericyard_tables.models import Mark


@types.coroutine
def switch() -> Iterator[None]:
    """Give control to the rule that drives the coroutine."""
    yield


@dataclass
class SwitchingStore:
    """Store whose calls let other coroutines run before and after."""

    store: FakeStore

    async def read(self, key: str) -> Result[Entry | None, StoreError]:
        await switch()
        result = await self.store.read(key)
        await switch()
        return result

    async def write(
        self, key: str, value: bytes, *, expected: int | None
    ) -> Result[int, StoreError]:
        await switch()
        result = await self.store.write(key, value, expected=expected)
        await switch()
        return result


async def switching_pause(seconds: float) -> None:
    await switch()


@dataclass
class Attempt:
    edit: Edit
    coroutine: object
    result: Result[AcceptedEdit, EditError] | None = None


@dataclass
class EditHistory:
    """What the store held over time, and which edit made each value."""

    documents: list[Document] = field(default_factory=list)

    def writers(self) -> list[str]:
        return [
            document.recent_edits[-1].edit_id for document in self.documents[1:]
        ]


def saw_the_row(change: Change, document: Document) -> bool:
    """Return whether the author of the change saw the row as it is."""
    if not isinstance(change, RowChange):
        return True
    return document.rows.get(change.key) in (change.before, change.after)


def create_machine(base: Document) -> type[RuleBasedStateMachine]:
    """Return a machine whose store starts with the document."""

    class EditMachine(RuleBasedStateMachine):
        @initialize()
        def start(self) -> None:
            self.store = FakeStore()
            value = encode_document(base).unwrap()
            self.store.put(CONFIGURATION_KEY, value, 0, None)
            self.attempts: list[Attempt] = []

        def history(self) -> EditHistory:
            return EditHistory(
                [
                    read_document(change.value).unwrap()
                    for change in self.store.changes
                ]
            )

        def begin(self, changes: tuple[Change, ...]) -> None:
            edit = Edit(f'edit-{len(self.attempts)}', changes)
            coroutine = commit_edit(
                SwitchingStore(self.store),
                edit,
                pause=switching_pause,
                rng=random.Random(0),
                policy=RetryPolicy(attempts=4),
            )
            self.attempts.append(Attempt(edit, coroutine))

        @rule(
            name=st.sampled_from(['kranj-dom', 'koper-obala']),
            weights=st.lists(
                st.integers(1, 5), min_size=1, max_size=2, unique=True
            ),
            age=st.integers(1, 2),
        )
        def change_rows(self, name: str, weights: list[int], age: int) -> None:
            seen = self.history().documents[-age:][0]
            names = [name, 'ptuj-varcno'][: len(weights)]
            changes = []
            for row_name, weight in zip(names, weights, strict=True):
                key = RowKey('workspace', row_name)
                before = seen.rows[key]
                after = {**before, 'weight': str(weight)}
                changes.append(RowChange(key, before, after))
            self.begin(tuple(changes))

        @rule(port=st.integers(1, 3), name=st.integers(1, 3))
        def add_endpoint(self, port: int, name: int) -> None:
            row = {
                'pool': 'report-model',
                'address': f'127.0.0.1:{port}',
                'zone': 'lj-a',
                'vm': 'vm-x',
            }
            key = RowKey('endpoint', f'extra-{name}')
            self.begin((RowChange(key, None, row),))

        @rule(out=st.booleans(), zone=st.sampled_from(['lj-a', 'lj-b']))
        def move_zone(self, out: bool, zone: str) -> None:
            if out:
                change = TakeOut(PlaceKind.ZONE, zone, Mark(1))
            else:
                change = BringIn(PlaceKind.ZONE, zone)
            self.begin((change,))

        @precondition(lambda self: self.running())
        @rule(data=st.data(), steps=st.integers(1, 6))
        def go_on(self, data: st.DataObject, steps: int) -> None:
            self.go_on_for(data.draw(st.sampled_from(self.running())), steps)

        def go_on_for(self, attempt: Attempt, steps: int) -> None:
            for _ in range(steps):
                self.step(attempt)

        @precondition(lambda self: self.running())
        @rule(
            data=st.data(),
            faults=st.lists(
                st.sampled_from(list(Fault)), min_size=1, max_size=4
            ),
            steps=st.integers(5, 40),
        )
        def go_on_with_faults(
            self, data: st.DataObject, faults: list[Fault], steps: int
        ) -> None:
            self.store.write_faults.extend(faults)
            self.go_on_for(data.draw(st.sampled_from(self.running())), steps)
            self.store.write_faults.clear()

        @rule(down=st.booleans())
        def outage(self, down: bool) -> None:
            self.store.down = down

        @rule()
        def land(self) -> None:
            self.store.land_late_writes()

        def running(self) -> list[Attempt]:
            return [one for one in self.attempts if one.result is None]

        def step(self, attempt: Attempt) -> None:
            if attempt.result is not None:
                return
            try:
                attempt.coroutine.send(None)
            except StopIteration as stop:
                attempt.result = stop.value

        @invariant()
        def each_value_is_one_whole_edit(self) -> None:
            history = self.history()
            edits = {one.edit.edit_id: one.edit for one in self.attempts}
            for before, after in zip(
                history.documents, history.documents[1:], strict=False
            ):
                edit = edits[after.recent_edits[-1].edit_id]
                assert apply_edit(edit, before).unwrap() == after
                for change in edit.changes:
                    assert saw_the_row(change, before), edit
                assert configure(after, 1).unwrap()

        @invariant()
        def answers_are_true(self) -> None:
            writers = self.history().writers()
            assert len(writers) == len(set(writers)), writers
            for attempt in self.attempts:
                if attempt.result is None:
                    continue
                written = attempt.edit.edit_id in writers
                if isinstance(attempt.result, Success):
                    assert written, attempt
                elif not isinstance(attempt.result.failure(), EditUnknown):
                    assert not written, attempt

        def teardown(self) -> None:
            self.store.land_late_writes()
            self.store.down = False
            for attempt in self.attempts:
                self.go_on_for(attempt, 60)
                assert attempt.result is not None
            self.store.land_late_writes()
            self.each_value_is_one_whole_edit()
            self.answers_are_true()

    return EditMachine

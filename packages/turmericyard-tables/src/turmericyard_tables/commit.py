"""Writes an edit to the platform's store by compare-and-swap.

Each attempt reads the document, looks for the edit's id, applies the edit
and writes on the condition of the revision that was read. A write whose
answer was lost is settled by the next read: either the id is there, or the
condition keeps the late write and the next attempt from both taking effect.
"""

import random
from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from functools import singledispatch

from returns.result import Failure, Result, Success

from turmericyard_clients.store import (
    Entry,
    Store,
    StoreAnswerLost,
    StoreConflict,
    StoreError,
    StoreUnavailable,
)
from turmericyard_tables.document import (
    CONFIGURATION_KEY,
    AppliedEdit,
    Document,
    encode_document,
    read_document,
)
from turmericyard_tables.edit import Edit, apply_edit, find_edit, is_repeated
from turmericyard_tables.errors import (
    EditError,
    EditIdReused,
    EditNotWritten,
    EditUnknown,
)

#: Attempts before the edit is given up.
MAX_ATTEMPTS = 8
#: Longest pause before the second attempt, in seconds; doubles each time.
FIRST_PAUSE_SECONDS = 0.05
#: Longest pause between two attempts, in seconds.
MAX_PAUSE_SECONDS = 2

Pause = Callable[[float], Awaitable[object]]


@dataclass(frozen=True, slots=True)
class AcceptedEdit:
    """An edit that the store holds.

    It is in force from `revision` on; when its answer was lost, `revision`
    is that of the read that found it.
    """

    revision: int
    document: Document


@dataclass(frozen=True, slots=True)
class RetryPolicy:
    """How often and after which pauses an attempt is repeated."""

    attempts: int = MAX_ATTEMPTS
    first_pause_seconds: float = FIRST_PAUSE_SECONDS
    max_pause_seconds: float = MAX_PAUSE_SECONDS

    def pause_seconds(self, attempt: int, rng: random.Random) -> float:
        """Return the pause after a failed attempt, counted from 0."""
        longest = self.first_pause_seconds * 2**attempt
        return rng.uniform(0, min(longest, self.max_pause_seconds))


@dataclass(slots=True)
class EditCommitter:
    """Carries one edit to the store."""

    store: Store
    edit: Edit
    lost_revision: int | None = None

    async def attempt(self) -> Result[AcceptedEdit, StoreError | EditError]:
        """Read, apply and write once."""
        entry = await self.store.read(CONFIGURATION_KEY)
        if not isinstance(entry, Success):
            return Failure(entry.failure())
        current = entry.unwrap()
        self.settle_lost_write(current)
        document = open_document(current, self.edit)
        if not isinstance(document, Success):
            return Failure(document.failure())
        applied = find_edit(self.edit, document.unwrap())
        if applied is not None and current is not None:
            return self.judge_repeat(applied, document.unwrap(), current)
        return await self.write(document.unwrap(), current)

    def judge_repeat(
        self, applied: AppliedEdit, document: Document, current: Entry
    ) -> Result[AcceptedEdit, StoreError | EditError]:
        """Accept an edit that the document holds, if it is the same."""
        if is_repeated(self.edit, applied):
            return Success(AcceptedEdit(current.revision, document))
        return Failure(EditIdReused(self.edit.edit_id))

    async def write(
        self, document: Document, current: Entry | None
    ) -> Result[AcceptedEdit, StoreError | EditError]:
        """Write the edited document over the one that was read."""
        edited = apply_edit(self.edit, document)
        value = edited.bind(encode_document)
        if not isinstance(value, Success):
            return Failure(value.failure())
        written = await self.store.write(
            CONFIGURATION_KEY,
            value.unwrap(),
            expected=current.revision if current else 0,
        )
        if not isinstance(written, Success):
            self.note_failure(written.failure(), current)
            return Failure(written.failure())
        return Success(AcceptedEdit(written.unwrap(), edited.unwrap()))

    def note_failure(self, error: StoreError, current: Entry | None) -> None:
        """Remember that a write may have taken effect, now or later."""
        if isinstance(error, StoreAnswerLost):
            self.lost_revision = current.revision if current else 0

    def settle_lost_write(self, current: Entry | None) -> None:
        """Forget a lost write whose condition cannot be met any more.

        The caller finds the edit's id when it was this write that moved the
        key on.
        """
        if self.lost_revision is None or current is None:
            return
        if current.revision > self.lost_revision:
            self.lost_revision = None

    def give_up(self, error: StoreError | EditError) -> EditError:
        """Return the error of the whole edit after the last attempt."""
        if isinstance(error, EditError):
            return error
        if self.lost_revision is not None:
            return EditUnknown(self.edit.edit_id, error.message)
        return EditNotWritten(error.message)


def open_document(
    entry: Entry | None, edit: Edit
) -> Result[Document, EditError]:
    """Return the document of an entry, the empty one for no entry."""
    if entry is None:
        return Success(Document())
    document = read_document(entry.value)
    if edit.replace_unreadable and isinstance(document, Failure):
        return Success(Document())
    return document


async def commit_edit(
    store: Store,
    edit: Edit,
    *,
    pause: Pause,
    rng: random.Random,
    policy: RetryPolicy | None = None,
) -> Result[AcceptedEdit, EditError]:
    """Write the edit, trying again after conflicts and lost answers.

    `pause` sleeps for a number of seconds. Fails with EditUnknown when an
    answer was lost and could not be settled, and with EditNotWritten when it
    is certain that nothing was written.
    """
    rules = policy or RetryPolicy()
    committer = EditCommitter(store, edit)
    outcome = await committer.attempt()
    for attempt in range(rules.attempts - 1):
        if not may_retry(outcome):
            break
        wait_seconds = rules.pause_seconds(attempt, rng)
        await pause(max(wait_seconds, asked_pause(outcome.failure())))
        outcome = await committer.attempt()
    return outcome.alt(committer.give_up)


def may_retry(outcome: Result[AcceptedEdit, StoreError | EditError]) -> bool:
    """Return whether another attempt may turn out otherwise."""
    return isinstance(outcome, Failure) and isinstance(
        outcome.failure(), StoreConflict | StoreUnavailable | StoreAnswerLost
    )


@singledispatch
def asked_pause(error: object) -> float:
    """Return the pause that the store asked for, in seconds."""
    return 0


@asked_pause.register
def asked_pause_unavailable(error: StoreUnavailable) -> float:
    """Return the pause of a refusal, bounded."""
    return min(error.retry_after_seconds, MAX_PAUSE_SECONDS)

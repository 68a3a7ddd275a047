"""Writes an edit to the platform's store by compare-and-swap.

Each attempt reads the document, looks for the edit's id in it, applies the
edit and writes the result on condition that the key is still at the revision
that was read. When the answer to a write is lost, the next attempt either
finds the id in the document, or the conditions of the two writes allow only
one of them to take effect.
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
    Document,
    RecordedEdit,
    encode_document,
    read_document,
)
from turmericyard_tables.edit import Edit, apply_edit, find_edit, is_repetition
from turmericyard_tables.errors import (
    EditError,
    EditIdReused,
    EditNotWritten,
    EditUnknown,
)

#: Number of attempts to write an edit.
MAX_ATTEMPTS = 8
#: Longest back-off before the second attempt, in seconds; doubles each time.
FIRST_BACK_OFF_SECONDS = 0.05
#: Longest back-off between two attempts, in seconds.
MAX_BACK_OFF_SECONDS = 2

Pause = Callable[[float], Awaitable[object]]


@dataclass(frozen=True, slots=True)
class AcceptedEdit:
    """An accepted edit and the document that contains it.

    `revision` is the store revision that the edit created. When the edit was
    found by a read, such as after a lost answer, it is the revision of that
    read.
    """

    revision: int
    document: Document


@dataclass(frozen=True, slots=True)
class RetryPolicy:
    """Number of attempts and the back-off between them.

    The back-off is random, between 0 and a bound that doubles with each
    attempt up to `max_back_off_seconds`.
    """

    attempts: int = MAX_ATTEMPTS
    first_back_off_seconds: float = FIRST_BACK_OFF_SECONDS
    max_back_off_seconds: float = MAX_BACK_OFF_SECONDS

    def back_off_seconds(self, attempt: int, rng: random.Random) -> float:
        """Return the back-off in seconds; `attempt` counts from 0."""
        longest = self.first_back_off_seconds * 2**attempt
        return rng.uniform(0, min(longest, self.max_back_off_seconds))


@dataclass(slots=True)
class EditCommitter:
    """Writes one edit to the store.

    `unconfirmed_revision` is the revision that a write expected whose answer
    was lost and which may still take effect; None when there is no such write.
    """

    store: Store
    edit: Edit
    unconfirmed_revision: int | None = None

    async def attempt(self) -> Result[AcceptedEdit, StoreError | EditError]:
        """Read the document, apply the edit and write the result once."""
        entry = await self.store.read(CONFIGURATION_KEY)
        if not isinstance(entry, Success):
            return Failure(entry.failure())
        current = entry.unwrap()
        self.clear_outdated_write(current)
        document = decode_entry(current, self.edit)
        if not isinstance(document, Success):
            return Failure(document.failure())
        recorded = find_edit(self.edit, document.unwrap())
        if recorded is not None and current is not None:
            return self.accept_repetition(recorded, document.unwrap(), current)
        return await self.write(document.unwrap(), current)

    def accept_repetition(
        self, recorded: RecordedEdit, document: Document, current: Entry
    ) -> Result[AcceptedEdit, StoreError | EditError]:
        """Return the edit as accepted if its changes are those of `recorded`.

        Fails with EditIdReused otherwise.
        """
        if is_repetition(self.edit, recorded):
            return Success(AcceptedEdit(current.revision, document))
        return Failure(EditIdReused(self.edit.edit_id))

    async def write(
        self, document: Document, current: Entry | None
    ) -> Result[AcceptedEdit, StoreError | EditError]:
        """Write the edited document if the key is still as it was read."""
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
            self.record_failure(written.failure(), current)
            return Failure(written.failure())
        return Success(AcceptedEdit(written.unwrap(), edited.unwrap()))

    def record_failure(self, error: StoreError, current: Entry | None) -> None:
        """Record the revision of a write that may take effect, now or later."""
        if isinstance(error, StoreAnswerLost):
            self.unconfirmed_revision = current.revision if current else 0

    def clear_outdated_write(self, current: Entry | None) -> None:
        """Clear an unconfirmed write whose condition can no longer be met.

        If the key changed because of that very write, the caller then finds
        the edit's id in the document.
        """
        if self.unconfirmed_revision is None or current is None:
            return
        if current.revision > self.unconfirmed_revision:
            self.unconfirmed_revision = None

    def final_error(self, error: StoreError | EditError) -> EditError:
        """Return the error of the edit, given that of the last attempt."""
        if isinstance(error, EditError):
            return error
        if self.unconfirmed_revision is not None:
            return EditUnknown(self.edit.edit_id, error.message)
        return EditNotWritten(error.message)


def decode_entry(
    entry: Entry | None, edit: Edit
) -> Result[Document, EditError]:
    """Return the document of an entry, an empty one when there is no entry."""
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
    """Write the edit, with retries after conflicts, refusals and lost answers.

    `pause` sleeps for a number of seconds. Fails with EditUnknown when the
    answer to a write was lost and its outcome could not be read, with
    EditNotWritten when the edit has certainly changed nothing, and with the
    error of `apply_edit` or `read_document` when the edit cannot be applied.
    """
    retry_policy = policy or RetryPolicy()
    committer = EditCommitter(store, edit)
    outcome = await committer.attempt()
    for attempt in range(retry_policy.attempts - 1):
        if not may_retry(outcome):
            break
        wait_seconds = retry_policy.back_off_seconds(attempt, rng)
        await pause(max(wait_seconds, requested_delay(outcome.failure())))
        outcome = await committer.attempt()
    return outcome.alt(committer.final_error)


def may_retry(outcome: Result[AcceptedEdit, StoreError | EditError]) -> bool:
    """Return whether another attempt may succeed."""
    return isinstance(outcome, Failure) and isinstance(
        outcome.failure(), StoreConflict | StoreUnavailable | StoreAnswerLost
    )


@singledispatch
def requested_delay(error: object) -> float:
    """Return the delay that the store requested, in seconds."""
    return 0


@requested_delay.register
def unavailable_delay(error: StoreUnavailable) -> float:
    """Return the delay of a refusal, at most MAX_BACK_OFF_SECONDS."""
    return min(error.retry_after_seconds, MAX_BACK_OFF_SECONDS)

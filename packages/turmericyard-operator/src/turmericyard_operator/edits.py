"""Commits edits of the tables and exits with a status for each error."""

import random
from functools import singledispatch
from typing import NoReturn
from uuid import uuid4

import curio
from returns.result import Success

from turmericyard_clients.store import (
    Entry,
    StoreError,
)
from turmericyard_operator.exits import ExitStatus, fail
from turmericyard_operator.session import Session
from turmericyard_tables.commit import AcceptedEdit, commit_edit
from turmericyard_tables.document import (
    CONFIGURATION_KEY,
    Document,
    read_document,
)
from turmericyard_tables.edit import Change, Edit
from turmericyard_tables.errors import (
    EditNotWritten,
    EditUnknown,
    RowConflict,
)


def create_edit_id() -> str:
    """Return a unique id, by which a repeated edit is recognised."""
    return uuid4().hex


def submit_edit(session: Session, edit: Edit) -> AcceptedEdit:
    """Commit the edit; exits with an error when it is not accepted."""
    outcome = curio.run(commit_with_retries, session, edit)
    if not isinstance(outcome, Success):
        error = outcome.failure()
        fail(exit_status(error), error.message)
    accepted: AcceptedEdit = outcome.unwrap()
    return accepted


async def commit_with_retries(session: Session, edit: Edit) -> object:
    """Return the result of committing the edit, with retries."""
    return await commit_edit(
        session.store(), edit, pause=curio.sleep, rng=random.Random()
    )


@singledispatch
def exit_status(error: object) -> ExitStatus:
    """Return the exit status of an edit's error."""
    return ExitStatus.INVALID


@exit_status.register
def conflict_status(error: RowConflict) -> ExitStatus:
    """Return the status of a conflict."""
    return ExitStatus.CONFLICT


@exit_status.register
def not_written_status(error: EditNotWritten) -> ExitStatus:
    """Return the status of an edit that was certainly not written."""
    return ExitStatus.UNAVAILABLE


@exit_status.register
def unknown_status(error: EditUnknown) -> ExitStatus:
    """Return the status of an edit that may have been written."""
    return ExitStatus.UNKNOWN


async def read_stored(session: Session) -> tuple[Document, int]:
    """Return the stored document and its revision.

    They are empty and 0 when nothing is stored. Exits with an error when the
    document cannot be read.
    """
    result = await session.store().read(CONFIGURATION_KEY)
    if not isinstance(result, Success):
        fail_store_unavailable(result.failure())
    entry: Entry | None = result.unwrap()
    if entry is None:
        return Document(), 0
    document = read_document(entry.value)
    if not isinstance(document, Success):
        fail(ExitStatus.INVALID, document.failure().message)
    return document.unwrap(), entry.revision


def fail_store_unavailable(error: StoreError) -> NoReturn:
    """Exit with an error because the store could not be read."""
    fail(ExitStatus.UNAVAILABLE, error.message)


def apply_changes(
    session: Session, changes: tuple[Change, ...], edit_id: str | None
) -> AcceptedEdit:
    """Commit the changes as one edit, under a new id unless one is given."""
    return submit_edit(session, Edit(edit_id or create_edit_id(), changes))

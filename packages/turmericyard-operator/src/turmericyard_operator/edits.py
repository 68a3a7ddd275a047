"""Carries out an edit and ends the command by its outcome."""

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
    """Return a unique edit id."""
    return uuid4().hex


def carry_out(session: Session, edit: Edit) -> AcceptedEdit:
    """Write the edit; ends the command when it is not accepted."""
    outcome = curio.run(commit, session, edit)
    if not isinstance(outcome, Success):
        error = outcome.failure()
        fail(exit_status(error), error.message)
    accepted: AcceptedEdit = outcome.unwrap()
    return accepted


async def commit(session: Session, edit: Edit) -> object:
    """Return the outcome of the edit."""
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
    """Return the status of an edit that the store could not take."""
    return ExitStatus.UNAVAILABLE


@exit_status.register
def unknown_status(error: EditUnknown) -> ExitStatus:
    """Return the status of an edit whose answer was lost."""
    return ExitStatus.UNKNOWN


async def read_stored(session: Session) -> tuple[Document, int]:
    """Return the stored document and its revision; 0 when there is none."""
    found = await session.store().read(CONFIGURATION_KEY)
    if not isinstance(found, Success):
        end_unread(found.failure())
    entry: Entry | None = found.unwrap()
    if entry is None:
        return Document(), 0
    document = read_document(entry.value)
    if not isinstance(document, Success):
        fail(ExitStatus.INVALID, document.failure().message)
    return document.unwrap(), entry.revision


def end_unread(error: StoreError) -> NoReturn:
    """End the command because the store could not be read."""
    fail(ExitStatus.UNAVAILABLE, error.message)


def accept(
    session: Session, changes: tuple[Change, ...], edit_id: str | None
) -> AcceptedEdit:
    """Write the changes as one edit."""
    return carry_out(session, Edit(edit_id or create_edit_id(), changes))

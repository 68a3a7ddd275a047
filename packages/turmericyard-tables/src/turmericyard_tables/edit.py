"""Edits of the configuration: sets of changes that apply to any revision.

A change of a row includes the row that its author read. It applies to a newer
document when that row is unchanged there, and conflicts when another edit has
changed it; changes of different rows never conflict. Changes of service marks
are unconditional: the last accepted change takes effect.
"""

from collections.abc import Mapping
from dataclasses import dataclass
from enum import Enum
from functools import partial, singledispatch

import orjson
import xxhash
from returns.result import Failure, Result, Success

from turmericyard_tables.document import (
    RECENT_EDITS,
    Document,
    RecordedEdit,
    configure,
    encode_document,
)
from turmericyard_tables.errors import (
    EditError,
    RowConflict,
    UnknownLocation,
)
from turmericyard_tables.ini import Row, RowKey, Rows
from turmericyard_tables.models import Mark


class PlaceKind(Enum):
    """What a service mark takes out of service."""

    ZONE = 'zone'
    VM = 'vm'


@dataclass(frozen=True, slots=True)
class RowChange:
    """Adds, replaces or deletes one row.

    `before` is the row that the author read and `after` the new one; None
    means that there is no such row.
    """

    key: RowKey
    before: Row | None
    after: Row | None


@dataclass(frozen=True, slots=True)
class TakeOut:
    """Takes a zone or VM out of service; an existing mark is kept.

    With `force` the name may be one that no endpoint row contains.
    """

    kind: PlaceKind
    name: str
    mark: Mark
    force: bool = False


@dataclass(frozen=True, slots=True)
class BringIn:
    """Brings a zone or VM back into service."""

    kind: PlaceKind
    name: str


Change = RowChange | TakeOut | BringIn


@dataclass(frozen=True, slots=True)
class Edit:
    """Changes that are accepted together or not at all.

    `edit_id` is unique; it is used to find out whether a write whose answer
    was lost took effect. With `replace_unreadable`, a stored value that cannot
    be decoded is treated as an empty document, so its marks are lost.
    """

    edit_id: str
    changes: tuple[Change, ...]
    replace_unreadable: bool = False


def diff_rows(before: Rows, after: Rows) -> tuple[RowChange, ...]:
    """Return the changes that turn one set of rows into another."""
    keys = dict.fromkeys((*before, *after))
    return tuple(
        RowChange(key, before.get(key), after.get(key))
        for key in keys
        if before.get(key) != after.get(key)
    )


def find_edit(edit: Edit, document: Document) -> RecordedEdit | None:
    """Return the accepted edit with the same id, None when there is none."""
    for recorded in document.recent_edits:
        if recorded.edit_id == edit.edit_id:
            return recorded
    return None


def is_repetition(edit: Edit, recorded: RecordedEdit) -> bool:
    """Return whether an edit repeats the accepted edit of the same id.

    An edit without changes counts as a repetition, because a repeated command
    finds nothing left to change.
    """
    return not edit.changes or fingerprint(edit) == recorded.fingerprint


def fingerprint(edit: Edit) -> str:
    """Return a hash of the changes, which ignores the mark of a TakeOut.

    A repeated command has a new time in its mark.
    """
    values = [encode_change(each) for each in edit.changes]
    encoded = orjson.dumps(values, option=orjson.OPT_SORT_KEYS)
    return xxhash.xxh64_hexdigest(encoded)


@singledispatch
def encode_change(change: Change) -> object:
    """Return what the fingerprint covers of a change, as JSON values."""
    return change


@encode_change.register
def encode_take_out(change: TakeOut) -> object:
    """Return the kind and name of the zone or VM, without the mark."""
    return ['out', change.kind, change.name]


def apply_edit(edit: Edit, document: Document) -> Result[Document, EditError]:
    """Return the valid document with all changes applied.

    Fails with RowConflict naming all conflicting rows, with UnknownLocation,
    with InvalidTables when the result is not valid, or with DocumentTooLarge.
    """
    conflicts = tuple(
        change.key.section
        for change in edit.changes
        if isinstance(change, RowChange) and conflicts_with(change, document)
    )
    if conflicts:
        return Failure(RowConflict(conflicts))
    edited: Result[Document, EditError] = Success(document)
    for change in edit.changes:
        edited = edited.bind(partial(apply_change, change))
    return edited.bind(partial(record_edit, edit))


def conflicts_with(change: RowChange, document: Document) -> bool:
    """Return whether the row is neither as read nor as this change sets it."""
    current = document.rows.get(change.key)
    return current not in (change.before, change.after)


def record_edit(edit: Edit, document: Document) -> Result[Document, EditError]:
    """Return the document with the edit recorded in it.

    Fails with InvalidTables or DocumentTooLarge.
    """
    entry = RecordedEdit(edit.edit_id, fingerprint(edit))
    recent = (*document.recent_edits, entry)[-RECENT_EDITS:]
    recorded = Document(
        document.rows, document.zones_out, document.vms_out, recent
    )
    checked: Result[Document, EditError] = (
        configure(recorded, 0)
        .bind(lambda _: encode_document(recorded))
        .map(lambda _: recorded)
    )
    return checked


@singledispatch
def apply_change(
    change: Change, document: Document
) -> Result[Document, EditError]:
    """Return the document with one change applied."""
    raise NotImplementedError(type(change))


@apply_change.register
def apply_row_change(
    change: RowChange, document: Document
) -> Result[Document, EditError]:
    """Return the document with one row added, replaced or deleted."""
    rows = dict(document.rows)
    if change.after is None:
        rows.pop(change.key, None)
    else:
        rows[change.key] = change.after
    return Success(
        Document(
            rows, document.zones_out, document.vms_out, document.recent_edits
        )
    )


@apply_change.register
def apply_take_out(
    change: TakeOut, document: Document
) -> Result[Document, EditError]:
    """Return the document with the zone or VM marked out of service.

    Fails with UnknownLocation unless an endpoint row names it or the change
    has `force`.
    """
    known = known_locations(document, change.kind)
    if change.name not in known and not change.force:
        return Failure(UnknownLocation(change.kind.value, change.name, known))
    marks = {change.name: change.mark, **marks_of(document, change.kind)}
    return Success(replace_marks(document, change.kind, marks))


@apply_change.register
def apply_bring_in(
    change: BringIn, document: Document
) -> Result[Document, EditError]:
    """Return the document without the mark of the zone or VM.

    Fails with UnknownLocation when it has no mark and no endpoint row names
    it.
    """
    marks = dict(marks_of(document, change.kind))
    if change.name in marks:
        marks.pop(change.name)
    elif change.name not in known_locations(document, change.kind):
        known = known_locations(document, change.kind)
        return Failure(UnknownLocation(change.kind.value, change.name, known))
    return Success(replace_marks(document, change.kind, marks))


def known_locations(document: Document, kind: PlaceKind) -> tuple[str, ...]:
    """Return the sorted names of zones or VMs in the endpoint rows."""
    names = {
        row.get(kind.value, '')
        for key, row in document.rows.items()
        if key.kind == 'endpoint'
    }
    return tuple(sorted(names))


def marks_of(document: Document, kind: PlaceKind) -> Mapping[str, Mark]:
    """Return the service marks of all zones or of all VMs, by name."""
    if kind is PlaceKind.ZONE:
        return document.zones_out
    return document.vms_out


def replace_marks(
    document: Document, kind: PlaceKind, marks: Mapping[str, Mark]
) -> Document:
    """Return the document with the marks of zones or VMs replaced."""
    zones_out, vms_out = document.zones_out, document.vms_out
    if kind is PlaceKind.ZONE:
        zones_out = marks
    else:
        vms_out = marks
    return Document(document.rows, zones_out, vms_out, document.recent_edits)

"""The stored value: both tables, service marks and recent edit ids.

It is JSON, and holds the rows ready to be validated: reading INI text takes
most of the time of a large configuration, on the loop that relays tokens. One
key of the store holds it whole, so that one revision orders
every edit of either table and every mark.
"""

from collections.abc import Mapping
from dataclasses import dataclass, field
from typing import Annotated, Literal

import orjson
from pydantic import BaseModel, ConfigDict, Field, ValidationError
from returns.result import Failure, Result, Success

from turmericyard_clients.store import MAX_VALUE_BYTES
from turmericyard_tables.build import build_configuration
from turmericyard_tables.errors import (
    DocumentTooLarge,
    TablesError,
    UnreadableDocument,
)
from turmericyard_tables.ini import (
    ROW_KINDS,
    Row,
    RowKey,
    Rows,
    Table,
    normalise_row,
    render_table,
    sorted_keys,
)
from turmericyard_tables.models import Configuration, Mark
from turmericyard_tables.rows import Name

#: Key of the document in the platform's store.
CONFIGURATION_KEY = 'turmericyard/configuration'
#: Edits that a document remembers, newest last.
RECENT_EDITS = 128
#: Longest edit id, operator name or reason, in characters.
MAX_NOTE_LENGTH = 200

StoredRows = dict[Name, dict[str, str]]
RowKind = Literal['route', 'workspace', 'pool', 'endpoint']
Note = Annotated[str, Field(max_length=MAX_NOTE_LENGTH)]


@dataclass(frozen=True, slots=True)
class AppliedEdit:
    """An edit that a document holds; the fingerprint is of its changes."""

    edit_id: str
    fingerprint: str = ''


@dataclass(frozen=True, slots=True)
class Document:
    """The rows of both tables as text, the marks and the recent edits."""

    rows: Mapping[RowKey, Row] = field(default_factory=dict)
    zones_out: Mapping[str, Mark] = field(default_factory=dict)
    vms_out: Mapping[str, Mark] = field(default_factory=dict)
    recent_edits: tuple[AppliedEdit, ...] = ()

    def text(self, table: Table) -> str:
        """Return the canonical INI text of one table."""
        return render_table(table, self.rows)


class StoredMark(BaseModel):
    """A mark as it is stored."""

    model_config = ConfigDict(extra='forbid')

    since: float
    operator: Note = ''
    reason: Note = ''


class StoredEdit(BaseModel):
    """A recent edit as it is stored."""

    model_config = ConfigDict(extra='forbid')

    edit_id: Note
    fingerprint: Note = ''


class StoredDocument(BaseModel):
    """The JSON object that the store holds."""

    model_config = ConfigDict(extra='forbid')

    format: Literal[1]
    rows: dict[RowKind, StoredRows]
    zones_out: dict[Name, StoredMark]
    vms_out: dict[Name, StoredMark]
    recent_edits: tuple[StoredEdit, ...]


def read_document(value: bytes) -> Result[Document, TablesError]:
    """Return the document of a stored value, its rows not yet validated."""
    if len(value) > MAX_VALUE_BYTES:
        return Failure(DocumentTooLarge(len(value), MAX_VALUE_BYTES))
    try:
        stored = StoredDocument.model_validate_json(value)
    except ValidationError as error:
        details = error.errors(include_url=False, include_input=False)[0]
        place = '.'.join(map(str, details['loc'])) or 'value'
        return Failure(UnreadableDocument(f'{place}: {details["msg"]}'))
    return Success(
        Document(
            load_rows(stored),
            load_marks(stored.zones_out),
            load_marks(stored.vms_out),
            tuple(
                AppliedEdit(edit.edit_id, edit.fingerprint)
                for edit in stored.recent_edits
            ),
        )
    )


def load_rows(stored: StoredDocument) -> dict[RowKey, Row]:
    """Return the rows of a stored document by their keys."""
    return {
        RowKey(kind, name): normalise_row(row)
        for kind, rows in stored.rows.items()
        for name, row in rows.items()
    }


def dump_rows(rows: Rows) -> dict[str, dict[str, Row]]:
    """Return the rows by kind and name, both in the order of the tables."""
    return {
        kind: {key.name: rows[key] for key in sorted_keys(rows, kind)}
        for kinds in ROW_KINDS.values()
        for kind in kinds
    }


def load_marks(marks: Mapping[str, StoredMark]) -> dict[str, Mark]:
    """Return the data classes of stored marks."""
    return {
        name: Mark(mark.since, mark.operator, mark.reason)
        for name, mark in marks.items()
    }


def decode_document(
    value: bytes, revision: int
) -> Result[Configuration, TablesError]:
    """Return the checked configuration of a stored value."""
    return read_document(value).bind(
        lambda document: configure(document, revision)
    )


def configure(
    document: Document, revision: int
) -> Result[Configuration, TablesError]:
    """Return the checked configuration of a document at a store revision."""
    return build_configuration(
        document.rows,
        zones_out=document.zones_out,
        vms_out=document.vms_out,
        revision=revision,
    )


def encode_document(document: Document) -> Result[bytes, TablesError]:
    """Return the value to store; refused when it is too large."""
    value = orjson.dumps(
        {
            'format': 1,
            'rows': dump_rows(document.rows),
            'zones_out': document.zones_out,
            'vms_out': document.vms_out,
            'recent_edits': document.recent_edits,
        }
    )
    if len(value) > MAX_VALUE_BYTES:
        return Failure(DocumentTooLarge(len(value), MAX_VALUE_BYTES))
    return Success(value)

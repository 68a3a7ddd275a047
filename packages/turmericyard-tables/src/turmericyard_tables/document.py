"""The stored configuration: both tables, service marks and recent edits.

The value is JSON and holds the rows already parsed, because parsing INI text
would take most of the time of reading a large configuration, on the event loop
that relays tokens. It is stored under a single key, so that the revisions of
that key order all edits of both tables and all marks.
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
#: Number of accepted edits that a document records, newest last.
RECENT_EDITS = 128
#: Longest edit id, operator name or reason, in characters.
MAX_SHORT_TEXT_LENGTH = 200

StoredRows = dict[Name, dict[str, str]]
RowKind = Literal['route', 'workspace', 'pool', 'endpoint']
ShortText = Annotated[str, Field(max_length=MAX_SHORT_TEXT_LENGTH)]


@dataclass(frozen=True, slots=True)
class RecordedEdit:
    """An accepted edit; `fingerprint` is the hash of its changes."""

    edit_id: str
    fingerprint: str = ''


@dataclass(frozen=True, slots=True)
class Document:
    """The rows of both tables as text, the service marks and recent edits.

    The rows are not necessarily valid.
    """

    rows: Mapping[RowKey, Row] = field(default_factory=dict)
    zones_out: Mapping[str, Mark] = field(default_factory=dict)
    vms_out: Mapping[str, Mark] = field(default_factory=dict)
    recent_edits: tuple[RecordedEdit, ...] = ()

    def text(self, table: Table) -> str:
        """Return the canonical INI text of one table."""
        return render_table(table, self.rows)


class StoredMark(BaseModel):
    """Stored form of a service mark."""

    model_config = ConfigDict(extra='forbid')

    since: float
    operator: ShortText = ''
    reason: ShortText = ''


class StoredEdit(BaseModel):
    """Stored form of an accepted edit."""

    model_config = ConfigDict(extra='forbid')

    edit_id: ShortText
    fingerprint: ShortText = ''


class StoredDocument(BaseModel):
    """Stored form of the document: a JSON object of format 1."""

    model_config = ConfigDict(extra='forbid')

    format: Literal[1]
    rows: dict[RowKind, StoredRows]
    zones_out: dict[Name, StoredMark]
    vms_out: dict[Name, StoredMark]
    recent_edits: tuple[StoredEdit, ...]


def read_document(value: bytes) -> Result[Document, TablesError]:
    """Return the document of a stored value; its rows are not validated.

    Fails with DocumentTooLarge or UnreadableDocument.
    """
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
                RecordedEdit(edit.edit_id, edit.fingerprint)
                for edit in stored.recent_edits
            ),
        )
    )


def load_rows(stored: StoredDocument) -> dict[RowKey, Row]:
    """Return the rows of a stored document by key."""
    return {
        RowKey(kind, name): normalise_row(row)
        for kind, rows in stored.rows.items()
        for name, row in rows.items()
    }


def dump_rows(rows: Rows) -> dict[str, dict[str, Row]]:
    """Return the rows by kind and name, in the order of the INI tables."""
    return {
        kind: {key.name: rows[key] for key in sorted_keys(rows, kind)}
        for kinds in ROW_KINDS.values()
        for kind in kinds
    }


def load_marks(marks: Mapping[str, StoredMark]) -> dict[str, Mark]:
    """Return the marks of a stored document by the name of zone or VM."""
    return {
        name: Mark(mark.since, mark.operator, mark.reason)
        for name, mark in marks.items()
    }


def decode_document(
    value: bytes, revision: int
) -> Result[Configuration, TablesError]:
    """Return the valid configuration of a stored value at a store revision."""
    return read_document(value).bind(
        lambda document: configure(document, revision)
    )


def configure(
    document: Document, revision: int
) -> Result[Configuration, TablesError]:
    """Return the valid configuration of a document at a store revision."""
    return build_configuration(
        document.rows,
        zones_out=document.zones_out,
        vms_out=document.vms_out,
        revision=revision,
    )


def encode_document(document: Document) -> Result[bytes, TablesError]:
    """Return the value to store; fails with DocumentTooLarge."""
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

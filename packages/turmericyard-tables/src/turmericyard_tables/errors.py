"""Errors in tables and stored documents, and errors of edits."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class TableFault:
    """One error in a table: its place, the value found, the values allowed.

    `section` and `key` are empty when the error concerns the whole table.
    """

    table: str
    section: str
    key: str
    found: str
    allowed: str

    @property
    def message(self) -> str:
        """Return the place, the value found and those allowed, in a line."""
        place = ' '.join(
            part
            for part in (self.table, f'[{self.section}]', self.key)
            if part not in {'', '[]'}
        )
        return f'{place}: found {self.found}; allowed: {self.allowed}'


@dataclass(frozen=True, slots=True)
class InvalidTables:
    """Both tables were rejected; `faults` holds every error found."""

    faults: tuple[TableFault, ...]

    @property
    def message(self) -> str:
        """Return all errors, one a line, then their number and the remedy."""
        lines = [fault.message for fault in self.faults]
        lines.append(
            f'errors in the tables: {len(self.faults)}; correct the rows named '
            'above, then run the command again'
        )
        return '\n'.join(lines)


@dataclass(frozen=True, slots=True)
class UnreadableDocument:
    """The stored value is not a document of a supported format."""

    detail: str

    @property
    def message(self) -> str:
        """Return where the document is invalid, and the remedy."""
        return (
            f'stored configuration cannot be decoded ({self.detail}): upgrade '
            'this program if a newer version wrote it; otherwise run '
            '`turmericyard tables apply --replace ROUTES POOLS`, which also '
            'removes all service marks'
        )


@dataclass(frozen=True, slots=True)
class DocumentTooLarge:
    """The encoded document is longer than the largest value of the store."""

    size_bytes: int
    limit_bytes: int

    @property
    def message(self) -> str:
        """Return the size, the limit and the remedy."""
        return (
            f'encoded configuration has {self.size_bytes} bytes and the store '
            f'accepts at most {self.limit_bytes}: remove rows that are no '
            'longer in use from the tables, then run the command again'
        )


TablesError = InvalidTables | UnreadableDocument | DocumentTooLarge


@dataclass(frozen=True, slots=True)
class RowConflict:
    """Another edit changed rows of this edit after its author read them."""

    rows: tuple[str, ...]

    @property
    def message(self) -> str:
        """Return the rows and the remedy."""
        names = ', '.join(self.rows)
        return (
            f'another edit changed these rows after they were read: {names}; '
            'nothing was written: run `turmericyard tables show --directory '
            'DIR` with a new directory, repeat the change in its files and '
            'apply them'
        )


@dataclass(frozen=True, slots=True)
class UnknownLocation:
    """No endpoint row of the pools table names the zone or VM.

    `kind` is `zone` or `vm`, and `known` holds the names that rows contain.
    """

    kind: str
    name: str
    known: tuple[str, ...]

    @property
    def message(self) -> str:
        """Return the known names and the remedy."""
        names = ', '.join(self.known) or 'none'
        return (
            f'no endpoint of the pools table is in {self.kind} {self.name} '
            f'(known: {names}): correct the name, or pass --force to '
            f'`turmericyard {self.kind} out` to mark it before it has endpoints'
        )


@dataclass(frozen=True, slots=True)
class EditIdReused:
    """An accepted edit has the same id but different changes."""

    edit_id: str

    @property
    def message(self) -> str:
        """Return the id and the remedy."""
        return (
            f'edit {self.edit_id} was accepted earlier with different changes; '
            'the changes of this command were not written: run it without '
            '--edit-id'
        )


@dataclass(frozen=True, slots=True)
class EditNotWritten:
    """The store did not accept the edit; it certainly changed nothing."""

    detail: str

    @property
    def message(self) -> str:
        """Return the store's last error and the remedy."""
        return (
            f'edit not written, nothing changed (last error: {self.detail}): '
            'run the command again'
        )


@dataclass(frozen=True, slots=True)
class EditUnknown:
    """The answer to a write was lost and its outcome could not be read."""

    edit_id: str
    detail: str

    @property
    def message(self) -> str:
        """Return the store's last error and the remedy."""
        return (
            f'edit {self.edit_id} may have been accepted (last error: '
            f'{self.detail}): run the same command again with --edit-id '
            f'{self.edit_id}; an accepted edit is recognised and not applied '
            'twice'
        )


EditError = (
    InvalidTables
    | UnreadableDocument
    | DocumentTooLarge
    | RowConflict
    | UnknownLocation
    | EditIdReused
    | EditNotWritten
    | EditUnknown
)

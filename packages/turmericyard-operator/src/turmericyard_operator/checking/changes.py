"""What differs between two configurations of the platform."""

from collections.abc import Iterable
from dataclasses import dataclass
from typing import Any

import msgspec

from turmericyard_operator.checking.findings import Finding, Rule, error
from turmericyard_ports.configuration import Configuration


@dataclass(frozen=True, slots=True)
class EntryChange:
    """The changed fields of an entry; before or after is None without it."""

    place: str
    before: dict[str, Any] | None
    after: dict[str, Any] | None

    def text(self) -> str:
        """Return the change as lines, old values with - and new ones with +."""
        lines = [self.place]
        for sign, fields in (('-', self.before), ('+', self.after)):
            lines.extend(
                f'{sign} {key} = {value}'
                for key, value in (fields or {}).items()
            )
        return '\n'.join(lines)


def compare(
    in_force: Configuration, checked: Configuration
) -> tuple[EntryChange, ...]:
    """Return the changes from one configuration to another."""
    before = entries(in_force)
    after = entries(checked)
    places = dict.fromkeys((*before, *after))
    return tuple(
        entry_change(place, before.get(place), after.get(place))
        for place in places
        if before.get(place) != after.get(place)
    )


def entries(configuration: Configuration) -> dict[str, dict[str, Any]]:
    """Return the fields of each entry by its place."""
    found = {'limits': msgspec.to_builtins(configuration.limits)}
    found['keys'] = {'required': configuration.requires_keys}
    for kind, rows in (
        ('route', configuration.routes),
        ('service', configuration.services.values()),
        ('workspace', configuration.workspaces),
    ):
        found.update(named(kind, rows))
    return found


def named(kind: str, rows: Iterable[Any]) -> dict[str, dict[str, Any]]:
    """Return the fields of rows by their place."""
    return {f'{kind} {row.name}': msgspec.to_builtins(row) for row in rows}


def entry_change(
    place: str, before: dict[str, Any] | None, after: dict[str, Any] | None
) -> EntryChange:
    """Return the change of an entry, without fields that are equal."""
    return EntryChange(
        place, shown(rest(before, after)), shown(rest(after, before))
    )


def shown(fields: dict[str, Any] | None) -> dict[str, Any] | None:
    """Return fields without the keys of workspaces, which are secret."""
    if fields is None or 'keys' not in fields:
        return fields
    return {**fields, 'keys': f'{len(fields["keys"])} keys'}


def rest(
    fields: dict[str, Any] | None, other: dict[str, Any] | None
) -> dict[str, Any] | None:
    """Return the fields whose value differs from that in another entry."""
    if fields is None or other is None:
        return fields
    return {
        key: value for key, value in fields.items() if other.get(key) != value
    }


def check_version(
    in_force: Configuration, checked: Configuration, changes: object
) -> tuple[Finding, ...]:
    """Return the finding about a version that nodes would ignore."""
    if not changes or checked.version > in_force.version:
        return ()
    return (
        error(
            Rule.VERSION,
            'version',
            f'{checked.version} is not above {in_force.version}, which is in'
            ' force: nodes would ignore the changes; raise it',
        ),
    )

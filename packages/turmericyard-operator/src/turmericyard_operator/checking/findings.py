"""What a check of a configuration found."""

from collections.abc import Iterable
from dataclasses import asdict, dataclass
from enum import Enum
from typing import Any


class Severity(Enum):
    """Whether a configuration must not, or probably should not, be sent."""

    ERROR = 'error'
    WARNING = 'warning'


class Rule(Enum):
    """The kind of a finding."""

    REFERENCE = 'reference'
    #: An entry that no request can reach.
    NEVER_MATCHES = 'never matches'
    #: Limits that contradict each other.
    CONTRADICTION = 'contradiction'
    VALUE = 'value'
    #: A field that is not known and therefore has no effect.
    IGNORED = 'ignored'
    VERSION = 'version'


@dataclass(frozen=True, slots=True)
class Finding:
    """One finding; `message` says what was found and what to change."""

    severity: Severity
    rule: Rule
    place: str
    message: str

    def values(self) -> dict[str, Any]:
        """Return the finding as JSON values."""
        return {
            **asdict(self),
            'severity': self.severity.value,
            'rule': self.rule.value,
        }

    def text(self) -> str:
        """Return the finding as a line."""
        return (
            f'{self.severity.value}: {self.place}: {self.message}'
            f' ({self.rule.value})'
        )


def error(rule: Rule, place: str, message: str) -> Finding:
    """Return a finding that makes a configuration invalid."""
    return Finding(Severity.ERROR, rule, place, message)


def warning(rule: Rule, place: str, message: str) -> Finding:
    """Return a finding that does not make a configuration invalid."""
    return Finding(Severity.WARNING, rule, place, message)


def has_errors(findings: Iterable[Finding], *, strict: bool) -> bool:
    """Return whether there is an error; a warning counts if `strict`."""
    return any(strict or each.severity is Severity.ERROR for each in findings)

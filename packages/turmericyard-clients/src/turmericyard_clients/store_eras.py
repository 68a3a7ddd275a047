"""The eras of a store: each restore from a copy starts the next one."""

from collections.abc import Callable
from dataclasses import dataclass

#: Largest rise of the era between two answers: a node that was cut off may
#: have missed some restores.
MAX_RISE = 64
#: Most digits of an era.
MAX_DIGITS = 9

InvalidListener = Callable[[str | None, int], None]


def ignore(_named: str | None, _latest: int) -> None:
    """Ignore an invalid era."""


@dataclass(slots=True)
class StoreEras:
    """The latest era that the store named in an answer to any call.

    `on_invalid` is called with the text of an invalid era, None for a missing
    one, and the latest valid era, once for equal ones in a row.
    """

    latest: int = 0
    on_invalid: InvalidListener = ignore
    is_named: bool = False
    last_invalid: tuple[str | None, int] | None = None

    def observe(self, named: str | None) -> bool:
        """Record the era of an answer; return False for an earlier era.

        An answer whose era is missing or malformed counts as one of the latest.
        """
        era = parse_era(named)
        is_valid = era is not None and 0 <= era - self.latest <= MAX_RISE
        if is_valid and era is not None:
            self.latest = era
            self.is_named = True
            self.last_invalid = None
        elif named is not None or self.is_named:
            self.report(named)
        return era is None or era >= self.latest

    def report(self, named: str | None) -> None:
        """Report an invalid era unless the last one was the same."""
        invalid = (named, self.latest)
        if invalid != self.last_invalid:
            self.last_invalid = invalid
            self.on_invalid(*invalid)


def parse_era(named: str | None) -> int | None:
    """Return the era, None for a text that is no era."""
    if named is None or len(named) > MAX_DIGITS:
        return None
    return int(named) if named.isascii() and named.isdecimal() else None

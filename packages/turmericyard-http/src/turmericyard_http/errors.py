"""Errors of HTTP exchanges, by what they say about the request's effect."""

from msgspec import Struct


class NotSent(Struct, frozen=True):
    """No byte of the request reached the peer: it has not run."""

    address: str
    detail: str

    @property
    def message(self) -> str:
        """Return what happened and the remedy."""
        return f'{self.address} not reached ({self.detail}): try another'


class AnswerLost(Struct, frozen=True):
    """The request was sent, at least in part: it may have run.

    `broken` says that the connection ended, and not the time for it.
    """

    address: str
    detail: str
    broken: bool = False

    @property
    def message(self) -> str:
        """Return what happened and the remedy."""
        return (
            f'no whole answer from {self.address} ({self.detail}): '
            'the request may have run'
        )


HttpError = NotSent | AnswerLost

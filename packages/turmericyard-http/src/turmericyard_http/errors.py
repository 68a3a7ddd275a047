"""Errors of HTTP exchanges, distinguished by whether the request may have run."""

from msgspec import Struct


class NotSent(Struct, frozen=True):
    """No byte of the request reached the peer: it has not run.

    With `refused` nothing listens at the address.
    """

    address: str
    detail: str
    refused: bool = False

    @property
    def message(self) -> str:
        """Return what happened and the remedy."""
        return f'{self.address} not reached ({self.detail}): try another'


class AnswerLost(Struct, frozen=True):
    """The request was sent, at least in part: it may have run.

    With `broken` the connection failed; the time limit had not expired. With
    `reused` it had carried an earlier exchange.
    """

    address: str
    detail: str
    broken: bool = False
    reused: bool = False

    @property
    def message(self) -> str:
        """Return what happened and the remedy."""
        return (
            f'no complete response from {self.address} ({self.detail}): '
            'the request may have run'
        )


HttpError = NotSent | AnswerLost

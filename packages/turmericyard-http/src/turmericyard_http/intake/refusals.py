"""Why a request is refused before it has run."""

from typing import Final

from turmericyard_http.intake.account import Reason

PAYLOAD_TOO_LARGE: Final = 413
REQUEST_TIMEOUT: Final = 408
UNAVAILABLE: Final = 503


class RequestRefused(Exception):
    """A request that was not read; without a status it gets no response."""

    def __init__(self, status: int, kind: str) -> None:
        super().__init__(kind)
        self.status = status
        self.kind = kind


class BodyTooLong(RequestRefused):
    """The body exceeds the limit."""

    def __init__(self) -> None:
        super().__init__(PAYLOAD_TOO_LARGE, 'body-too-large')


class NoRoom(RequestRefused):
    """The account has no room."""

    def __init__(self) -> None:
        super().__init__(UNAVAILABLE, 'no-memory')


class InputEnded(RequestRefused):
    """This side has ended the input of the connection."""

    def __init__(self, reason: Reason) -> None:
        status = 0
        if reason is Reason.MEMORY:
            status = UNAVAILABLE
        elif reason in {Reason.SLOW_HEAD, Reason.SLOW_BODY}:
            status = REQUEST_TIMEOUT
        super().__init__(status, reason.value.replace(' ', '-'))

"""Records of what callers received, for the invariant checks."""

from dataclasses import dataclass, field
from typing import Any


@dataclass(frozen=True, slots=True)
class Verdict:
    """One answer to one request id; `at` in boot-clock seconds.

    `message` is the text of an error response; it is only displayed.
    """

    request: str
    outcome: str
    kind: str
    at: float
    message: str = ''


@dataclass(frozen=True, slots=True)
class ReceivedToken:
    """One token as it reached the caller."""

    offset: int
    text: str
    at: float


@dataclass(slots=True)
class StreamRecord:
    """A generation that a caller requested, over all attempts.

    `tokens` are those of the last attempt. `told_tokens` is the count in the
    end event. `breaks` has the address and error of each interrupted read.
    """

    name: str
    workspace: str
    product: str
    prompt: str
    attempts: int = 0
    resumes: int = 0
    resume_token: str = ''
    tokens: list[ReceivedToken] = field(default_factory=list)
    told_tokens: int = 0
    verdicts: list[Verdict] = field(default_factory=list)
    breaks: list[str] = field(default_factory=list)
    asked_at: float = 0
    failed: bool = False
    ended: bool = False

    @property
    def request(self) -> str:
        """Return the request id of the last attempt."""
        return f'{self.name}.{self.attempts}'

    @property
    def settled(self) -> bool:
        """Return whether the last attempt needs no further events."""
        return self.ended or self.failed

    @property
    def resumable(self) -> bool:
        """Return whether the last attempt can continue by resuming."""
        return bool(self.resume_token) and not self.settled

    @property
    def text(self) -> str:
        """Return the text received in the last attempt."""
        return ''.join(token.text for token in self.tokens)

    @property
    def whole(self) -> bool:
        """Return whether the last answer has the outcome `done`."""
        return bool(self.verdicts) and self.verdicts[-1].outcome == 'done'

    @property
    def refused(self) -> bool:
        """Return whether the last answer has the outcome `refused`."""
        return bool(self.verdicts) and self.verdicts[-1].outcome == 'refused'

    def begin_attempt(self, now: float) -> None:
        """Discard what the last attempt received and count a new one."""
        self.attempts += 1
        self.resume_token = ''
        self.failed = False
        self.tokens = []
        self.asked_at = self.asked_at or now

    def record_answer(
        self, at: float, outcome: str, kind: str, message: str = ''
    ) -> None:
        """Add an answer to the request id of this attempt."""
        self.verdicts.append(Verdict(self.request, outcome, kind, at, message))

    def intervals(self) -> list[float]:
        """Return the times between consecutive tokens, in seconds."""
        times = [token.at for token in self.tokens]
        return [
            later - earlier
            for earlier, later in zip(times, times[1:], strict=False)
        ]


@dataclass(slots=True)
class CallRecord:
    """A call of a service, over all attempts."""

    name: str
    workspace: str
    product: str
    key: str
    payload: Any = None
    attempts: int = 0
    verdicts: list[Verdict] = field(default_factory=list)
    result: Any = None
    seconds: float = 0
    ended: bool = False

    @property
    def request(self) -> str:
        """Return the request id of the last attempt."""
        return f'{self.name}.{self.attempts}'

    @property
    def done(self) -> bool:
        """Return whether the last answer has the outcome `done`."""
        return bool(self.verdicts) and self.verdicts[-1].outcome == 'done'

    @property
    def outcome_unknown(self) -> bool:
        """Return whether the last answer to a keyed call is `may-have-run`."""
        last = self.verdicts[-1].outcome if self.verdicts else ''
        return bool(self.key) and last == 'may-have-run'

    @property
    def unknown_seconds(self) -> float:
        """Return the seconds from the first to the last `may-have-run`."""
        times = [
            verdict.at
            for verdict in self.verdicts
            if verdict.outcome == 'may-have-run'
        ]
        return times[-1] - times[0] if times else 0

    def record_answer(
        self, at: float, outcome: str, kind: str, message: str = ''
    ) -> None:
        """Add an answer to the request id of this attempt."""
        self.verdicts.append(Verdict(self.request, outcome, kind, at, message))


@dataclass(slots=True)
class LoadRecord:
    """Records of all requests of one run."""

    streams: list[StreamRecord] = field(default_factory=list)
    calls: list[CallRecord] = field(default_factory=list)

    def verdicts(self) -> list[Verdict]:
        """Return every answer to every attempt."""
        streamed = (each for record in self.streams for each in record.verdicts)
        called = (each for record in self.calls for each in record.verdicts)
        return [*streamed, *called]

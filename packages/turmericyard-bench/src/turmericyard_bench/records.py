"""What callers received, as the invariant checks read it."""

from dataclasses import dataclass, field
from typing import Any


@dataclass(frozen=True, slots=True)
class Verdict:
    """One answer to one request id; `at` in boot-clock seconds.

    `message` has the words of a problem, for a person who reads a failure.
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
    """A generation that a caller asked for, over all attempts.

    `tokens` are those of the last attempt. `told_tokens` is the count that
    the end event gave.
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
        """Return whether the last attempt goes on by resuming."""
        return bool(self.resume_token) and not self.settled

    @property
    def text(self) -> str:
        """Return the text received in the last attempt."""
        return ''.join(token.text for token in self.tokens)

    @property
    def whole(self) -> bool:
        """Return whether the answer came to its end, told done."""
        return bool(self.verdicts) and self.verdicts[-1].outcome == 'done'

    @property
    def refused(self) -> bool:
        """Return whether the request was refused for good."""
        return bool(self.verdicts) and self.verdicts[-1].outcome == 'refused'

    def begin_attempt(self, now: float) -> None:
        """Forget what the last attempt received and count a new one."""
        self.attempts += 1
        self.resume_token = ''
        self.failed = False
        self.tokens = []
        self.asked_at = self.asked_at or now

    def note(
        self, at: float, outcome: str, kind: str, message: str = ''
    ) -> None:
        """Add an answer to the request id of this attempt."""
        self.verdicts.append(Verdict(self.request, outcome, kind, at, message))

    def intervals(self) -> list[float]:
        """Return the seconds between tokens."""
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
        """Return whether the call was answered with its result."""
        return bool(self.verdicts) and self.verdicts[-1].outcome == 'done'

    @property
    def outcome_unknown(self) -> bool:
        """Return whether the last answer is that it may have run."""
        last = self.verdicts[-1].outcome if self.verdicts else ''
        return bool(self.key) and last == 'may-have-run'

    @property
    def unknown_seconds(self) -> float:
        """Return for how long the answers have been that it may have run."""
        times = [
            verdict.at
            for verdict in self.verdicts
            if verdict.outcome == 'may-have-run'
        ]
        return times[-1] - times[0] if times else 0

    def note(
        self, at: float, outcome: str, kind: str, message: str = ''
    ) -> None:
        """Add an answer to the request id of this attempt."""
        self.verdicts.append(Verdict(self.request, outcome, kind, at, message))


@dataclass(slots=True)
class LoadRecord:
    """Records of everything that callers asked for in one run."""

    streams: list[StreamRecord] = field(default_factory=list)
    calls: list[CallRecord] = field(default_factory=list)

    def verdicts(self) -> list[Verdict]:
        """Return every answer to every attempt."""
        streamed = (each for record in self.streams for each in record.verdicts)
        called = (each for record in self.calls for each in record.verdicts)
        return [*streamed, *called]

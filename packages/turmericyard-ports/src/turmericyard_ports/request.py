"""Requests of clients and answers of endpoints.

Method, target, headers and body are forwarded unchanged. Only the fields that
the core needs for its decisions are decoded.
"""

from enum import Enum

from msgspec import Struct

Headers = tuple[tuple[bytes, bytes], ...]
MULTIPLE_CHOICES = 300
REQUEST_TIMEOUT = 408
MISDIRECTED = 421
TOO_MANY_REQUESTS = 429
UNAVAILABLE = 503
#: Statuses that tell clients that their request has not run and never will.
REFUSAL_STATUSES = frozenset(
    (REQUEST_TIMEOUT, MISDIRECTED, TOO_MANY_REQUESTS, UNAVAILABLE)
)


class Prompt(Struct, frozen=True):
    """Size of a generation, in tokens.

    `tokens` is the length of the prompt and `max_output` the limit of the
    output.
    """

    tokens: int
    max_output: int
    #: The caller's estimate of the output, None where it gave none.
    expected_output: int | None = None


class IncomingRequest(Struct, frozen=True):
    """A client's request, decoded.

    `attempt` is the id that the client gave it. `headers` are those to forward
    to the endpoint. `arrived_at` and `deadline_at` are on the node's clock, in
    seconds. `body` is complete. `shared_parts` are the ids of those parts of
    the prompt that other requests may have as well, in order.
    """

    attempt: str
    method: bytes
    target: bytes
    host: str
    path: str
    headers: Headers
    body: bytes
    arrived_at: float
    deadline_at: float
    key: str | None = None
    prompt: Prompt | None = None
    shared_parts: tuple[str, ...] = ()
    #: Id of the last event that the client has of the stream that it resumes.
    last_event_id: str = ''


class ForwardingContext(Struct, frozen=True):
    """Data that the core adds to a request that it forwards to an endpoint.

    `seconds_left` is the time until the request's deadline.
    """

    expected_identity: str
    seconds_left: float
    workspace: str | None = None
    urgency: int | None = None
    #: `ip:port` of the endpoint that keeps a backup copy of the run.
    backup: str | None = None
    #: The copy from which the run is continued, and the last event delivered.
    copied: 'Continuation | None' = None
    #: Id of the event after which a new run of a resumable stream begins.
    resume_after: str = ''


class Continuation(Struct, frozen=True):
    """Start of a continued run: a copy and the id of the last event relayed."""

    source: str
    handle: str
    last_event_id: str


class Verdict(Enum):
    """How an endpoint's answer is treated."""

    #: The endpoint answered this request; the answer is passed on.
    ANSWERED = 'answered'
    #: The endpoint did not run the request and will not run it.
    NOT_RUN = 'not-run'
    #: The address now belongs to another endpoint; the request did not run.
    MISDIRECTED = 'misdirected'
    #: The answer is for another request than the one sent.
    FOREIGN = 'foreign'
    #: The answer lacks the endpoint's signature; the request may have run.
    UNSIGNED = 'unsigned'
    #: The endpoint's answer leaves open whether the request has run.
    UNCLEAR = 'unclear'
    #: The body has an encoding, for which no client asks.
    ENCODED = 'encoded'


class AnswerSigns(Struct, frozen=True):
    """What the head of an answer says about its origin and the request.

    `is_signed` tells that it bears the endpoint's signature, `states_not_run`
    that it says that the endpoint did not run the request. `names_request` and
    `names_other_request` tell that it bears the id of the attempt that was sent
    or of another one, `names_endpoint` that it bears the identity of the
    endpoint that answers, and `is_encoded` that its body has an encoding.
    """

    status: int
    is_signed: bool = False
    states_not_run: bool = False
    names_request: bool = False
    names_other_request: bool = False
    names_endpoint: bool = False
    is_encoded: bool = False

    @property
    def verdict(self) -> Verdict:
        """Return how the answer is treated.

        The table of all combinations is in docs/design/endpoint-answers.md.
        """
        if self.names_other_request:
            return Verdict.FOREIGN
        if self.is_misdirected:
            return Verdict.MISDIRECTED
        is_success = self.status < MULTIPLE_CHOICES
        if self.states_not_run and not is_success:
            return Verdict.NOT_RUN
        if not self.is_signed:
            return Verdict.UNSIGNED
        if self.states_not_run or self.status in REFUSAL_STATUSES:
            return Verdict.UNCLEAR
        if self.is_encoded and is_success:
            return Verdict.ENCODED
        return Verdict.ANSWERED

    @property
    def is_misdirected(self) -> bool:
        """Return whether another endpoint says that the request is not for it.

        Such an answer says who gives it or for which request. A signature is
        that of an endpoint which ran the request.
        """
        if self.status != MISDIRECTED:
            return False
        if self.states_not_run:
            return True
        has_origin = self.names_request or self.names_endpoint
        return has_origin and not self.is_signed


class EndpointReport(Struct, frozen=True):
    """What an endpoint's answer tells about the endpoint.

    `back_off_seconds` is the time for which it asks this node to send no
    requests, None where it does not ask. `requests_per_second` is the limit
    that it names for all nodes together, `rejections_per_second` the number of
    requests that it can reject in a second and go on; None where it names none.
    """

    leaving: bool = False
    back_off_seconds: float | None = None
    requests_per_second: float | None = None
    rejections_per_second: int | None = None

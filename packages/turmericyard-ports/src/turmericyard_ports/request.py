"""An opaque request and what an endpoint answered to it.

Method, target, headers and body pass unchanged; only what the core decides
on is decoded.
"""

from enum import Enum

from msgspec import Struct

Headers = tuple[tuple[bytes, bytes], ...]


class Prompt(Struct, frozen=True):
    """Estimates of a generation, in tokens."""

    tokens: int
    max_output: int
    #: The caller's guess of the output, None where it gave none.
    likely_output: int | None = None


class Arrival(Struct, frozen=True):
    """One attempt of a client, as it arrived.

    `headers` are those that go on to the endpoint. `deadline_at` is on the
    node's clock. `body` is whole.
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


class Onward(Struct, frozen=True):
    """What the core adds to a request that it sends to an endpoint."""

    expected_identity: str
    seconds_left: float
    workspace: str | None = None
    urgency: int | None = None
    #: `ip:port` of the endpoint that keeps a running copy.
    backup: str | None = None
    #: The copy from which the run goes on, and the last event delivered.
    copied: 'Continuation | None' = None


class Continuation(Struct, frozen=True):
    """Where a run goes on: a copy and the id of the last event relayed."""

    source: str
    handle: str
    last_event: str


class Verdict(Enum):
    """What an endpoint's answer says of its request."""

    #: The endpoint answered this request; status and body are its own.
    ANSWERED = 'answered'
    #: The endpoint says that it did not and will not run the request.
    NOT_RUN = 'not-run'
    #: Another endpoint has the address now; the request did not run.
    MISDIRECTED = 'misdirected'
    #: The answer belongs to no request of this connection.
    FOREIGN = 'foreign'


class EndpointSigns(Struct, frozen=True):
    """What an endpoint's answer says of the endpoint itself.

    `rest_seconds` is the time for which it wants nothing from this node, None
    where it does not ask for one.
    """

    leaving: bool = False
    rest_seconds: float | None = None

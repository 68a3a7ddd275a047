"""Messages between nodes, one data class each.

`message_types` has the number of each type on the wire. Fields are encoded in
order.
"""

from dataclasses import dataclass

#: Raised when the meaning of a message changes.
PROTOCOL_VERSION = 2


@dataclass(frozen=True, slots=True)
class Challenge:
    """First message of the accepting side."""

    version: int
    node: str
    incarnation: str
    nonce: bytes


@dataclass(frozen=True, slots=True)
class Hello:
    """Reply of the connecting side; `proof` answers the challenge."""

    version: int
    node: str
    incarnation: str
    nonce: bytes
    proof: bytes


@dataclass(frozen=True, slots=True)
class Welcome:
    """Last message of the handshake; `proof` answers the hello."""

    proof: bytes


@dataclass(frozen=True, slots=True)
class Heartbeat:
    """Says that the sender is alive and what it knows.

    `view_epoch` is the epoch of the view that it knows, 0 for none;
    `leaving_vms` what the VM list told it; `rumours` when it heard others, in
    tenths of a second before sending.
    """

    revision: int
    state: str
    view_epoch: int = 0
    leaving_vms: tuple[str, ...] = ()
    rumours: tuple[tuple[str, int], ...] = ()


@dataclass(frozen=True, slots=True)
class MembersRequest:
    """Asks for the records of all members that the peer knows."""


@dataclass(frozen=True, slots=True)
class MembersReply:
    """Records of members, each as the store holds it."""

    records: tuple[bytes, ...]


@dataclass(frozen=True, slots=True)
class ConfigurationRequest:
    """Asks for the configuration; also answered when the store is down."""

    revision: int


@dataclass(frozen=True, slots=True)
class ConfigurationReply:
    """The stored value at a revision; empty when none is known."""

    revision: int
    value: bytes


@dataclass(frozen=True, slots=True)
class Acknowledged:
    """Empty reply to a request that needs none."""


@dataclass(frozen=True, slots=True)
class Unsupported:
    """Reply to a message that the receiver does not know."""

    message_type: str


@dataclass(frozen=True, slots=True)
class EndpointLoad:
    """What an endpoint's owner knows of it; `headroom` is in tokens."""

    bound: int
    running: int
    headroom: float


@dataclass(frozen=True, slots=True)
class PermitRequest:
    """Asks the owner of an endpoint for one permit.

    `work` is the id under which the endpoint will list the work. `marks` are
    the marks of the request for the quarantine.
    """

    endpoint: str
    work: str
    product: str
    workspace: str
    prompt_tokens: int
    max_tokens: int
    marks: tuple[str, ...]


@dataclass(frozen=True, slots=True)
class PermitGrant:
    """A permit; its validity counts from the sending of the request."""

    endpoint: str
    work: str
    validity_seconds: float
    load: EndpointLoad


@dataclass(frozen=True, slots=True)
class PermitDenied:
    """No permit now; `detail` is for explanations."""

    endpoint: str
    detail: str
    retry_seconds: float
    load: EndpointLoad


@dataclass(frozen=True, slots=True)
class EndpointFree:
    """An endpoint that was refused as busy has room again."""

    endpoint: str
    load: EndpointLoad


@dataclass(frozen=True, slots=True)
class PaceNotice:
    """Tokens relayed from an endpoint in an interval, and their gaps."""

    endpoint: str
    tokens: int
    gaps: int
    gap_seconds: float


@dataclass(frozen=True, slots=True)
class PermitRelease:
    """The work under a permit has ended.

    `healthy` says that it ran to its end; `tokens` were produced, the first
    one after `first_token_seconds` (0 when unknown). It is uncertain when the
    endpoint may still run it, or begin it.
    """

    endpoint: str
    work: str
    product: str
    workspace: str
    healthy: bool
    tokens: int = 0
    first_token_seconds: float = 0
    certain: bool = True


@dataclass(frozen=True, slots=True)
class ViewRequest:
    """Asks for the stored view when it is newer than this epoch."""

    epoch: int


@dataclass(frozen=True, slots=True)
class ViewReply:
    """The stored view's value; empty when none newer is known."""

    value: bytes


@dataclass(frozen=True, slots=True)
class ShareName:
    """One share of an endpoint: its address, rank and slot."""

    endpoint: str
    rank: int
    slot: int


@dataclass(frozen=True, slots=True)
class LoanRequest:
    """Asks the holder of slots to lend shares to this incarnation."""

    incarnation: str
    shares: tuple[ShareName, ...]


@dataclass(frozen=True, slots=True)
class LentShare:
    """A share that was lent, and what the lender knows of it."""

    endpoint: str
    rank: int
    term: int
    fresh: bool


@dataclass(frozen=True, slots=True)
class LoanReply:
    """Shares lent by an incarnation; those not named were not lent."""

    incarnation: str
    shares: tuple[LentShare, ...]


@dataclass(frozen=True, slots=True)
class LoanReturn:
    """The borrower has ceased to use these shares."""

    incarnation: str
    shares: tuple[ShareName, ...]


@dataclass(frozen=True, slots=True)
class DeathNotice:
    """An endpoint died; `in_flight` has the marks of each request it ran."""

    identity: str
    in_flight: tuple[tuple[str, ...], ...]


@dataclass(frozen=True, slots=True)
class ClearanceNotice:
    """(mark, death) pairs of requests that have completed since."""

    pairs: tuple[tuple[str, str], ...]


@dataclass(frozen=True, slots=True)
class GenerationTaken:
    """Another node serves the generation's stream and settles its permit."""

    generation: str


@dataclass(frozen=True, slots=True)
class ExplainRequest:
    """Asks a peer for its part of the explanation of a request."""

    request: str


@dataclass(frozen=True, slots=True)
class ExplainReply:
    """Decisions on one request as JSON lines; may be empty."""

    request: str
    lines: tuple[str, ...]

"""Messages between nodes, one type each.

`message_types` has the number of each type on the wire. Fields are encoded in
order.
"""

from turmericyard_protocol.message import Message

#: Raised when the meaning of a message changes.
PROTOCOL_VERSION = 5


class Challenge(Message, frozen=True):
    """First message of the accepting side."""

    version: int
    node: str
    incarnation: str
    nonce: bytes


class Hello(Message, frozen=True):
    """Reply of the connecting side; `proof` answers the challenge."""

    version: int
    node: str
    incarnation: str
    nonce: bytes
    proof: bytes


class Welcome(Message, frozen=True):
    """Last message of the handshake; `proof` answers the hello."""

    proof: bytes


class Heartbeat(Message, frozen=True):
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


class MembersRequest(Message, frozen=True):
    """Asks for the records of all members that the peer knows."""


class MembersReply(Message, frozen=True):
    """Records of members, each as the store holds it."""

    records: tuple[bytes, ...]


class ConfigurationRequest(Message, frozen=True):
    """Asks for the configuration; also answered when the store is down."""

    revision: int


class ConfigurationReply(Message, frozen=True):
    """The stored value at a revision; empty when none is known."""

    revision: int
    value: bytes


class Acknowledged(Message, frozen=True):
    """Empty reply to a request that needs none."""


class Unsupported(Message, frozen=True):
    """Reply to a message that the receiver does not know."""

    message_type: str


class EndpointLoad(Message, frozen=True):
    """What an endpoint's owner knows of it; `headroom` is in tokens."""

    bound: int
    running: int
    headroom: float


class PermitRequest(Message, frozen=True):
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


class PermitGrant(Message, frozen=True):
    """A permit; its validity counts from the sending of the request."""

    endpoint: str
    work: str
    validity_seconds: float
    load: EndpointLoad


class PermitDenied(Message, frozen=True):
    """No permit now; `detail` is for explanations."""

    endpoint: str
    detail: str
    retry_seconds: float
    load: EndpointLoad


class EndpointFree(Message, frozen=True):
    """An endpoint that was refused as busy has room again."""

    endpoint: str
    load: EndpointLoad


class PaceNotice(Message, frozen=True):
    """Tokens relayed from an endpoint in an interval, and their gaps."""

    endpoint: str
    tokens: int
    gaps: int
    gap_seconds: float


class PermitRelease(Message, frozen=True):
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


class ViewRequest(Message, frozen=True):
    """Asks for the stored view when it is newer than this epoch."""

    epoch: int


class ViewReply(Message, frozen=True):
    """The stored view's value; empty when none newer is known."""

    value: bytes


class ShareName(Message, frozen=True):
    """One share of an endpoint: its address, rank and slot."""

    endpoint: str
    rank: int
    slot: int


class LoanRequest(Message, frozen=True):
    """Asks the holder of slots to lend shares to this incarnation."""

    incarnation: str
    shares: tuple[ShareName, ...]


class LentShare(Message, frozen=True):
    """A share that was lent, and what the lender knows of it."""

    endpoint: str
    rank: int
    term: int
    fresh: bool


class LoanReply(Message, frozen=True):
    """Shares lent by an incarnation; those not named were not lent."""

    incarnation: str
    shares: tuple[LentShare, ...]


class LoanReturn(Message, frozen=True):
    """The borrower has ceased to use these shares."""

    incarnation: str
    shares: tuple[ShareName, ...]


class DeathNotice(Message, frozen=True):
    """An endpoint died; `in_flight` has the marks of each request it ran."""

    identity: str
    in_flight: tuple[tuple[str, ...], ...]


class ClearanceNotice(Message, frozen=True):
    """(mark, death) pairs of requests that have completed since."""

    pairs: tuple[tuple[str, str], ...]


class RefusalNotice(Message, frozen=True):
    """A request is refused for good; `deaths` are those that it ran in."""

    marks: tuple[str, ...]
    deaths: tuple[DeathNotice, ...]


class GenerationTaken(Message, frozen=True):
    """Another node serves the generation's stream and settles its permit."""

    generation: str


class ExplainRequest(Message, frozen=True):
    """Asks a peer for its part of the explanation of a request."""

    request: str


class ExplainReply(Message, frozen=True):
    """Decisions on one request as JSON lines; may be empty."""

    request: str
    lines: tuple[str, ...]

"""Messages between nodes, one type each.

`message_types` has the number of each type on the wire. Fields are encoded in
the order of their declaration.
"""

from turmericyard_protocol.message import Message

#: Incremented when the meaning of a message changes.
PROTOCOL_VERSION = 5


class Challenge(Message, frozen=True):
    """First message of the handshake, from the accepting side."""

    version: int
    node: str
    incarnation: str
    nonce: bytes


class Hello(Message, frozen=True):
    """Reply of the connecting side.

    `proof` is the HMAC over the nonce of the challenge.
    """

    version: int
    node: str
    incarnation: str
    nonce: bytes
    proof: bytes


class Welcome(Message, frozen=True):
    """Last message of the handshake, from the accepting side.

    `proof` is the HMAC over the nonce of the hello.
    """

    proof: bytes


class Heartbeat(Message, frozen=True):
    """Announces that the sender is alive and which data it has.

    `revision` is that of its configuration. `view_epoch` is the epoch of its
    view, 0 for none. `leaving_vms` are the VMs that leave by the VM list.
    `rumours` are gossip about other nodes: a node and the age of the last
    contact with it, in tenths of a second at the time of sending.
    """

    revision: int
    state: str
    view_epoch: int = 0
    leaving_vms: tuple[str, ...] = ()
    rumours: tuple[tuple[str, int], ...] = ()


class MembersRequest(Message, frozen=True):
    """Asks for the records of all members that the peer knows."""


class MembersReply(Message, frozen=True):
    """Records of members, each encoded as in the store."""

    records: tuple[bytes, ...]


class ConfigurationRequest(Message, frozen=True):
    """Asks for the configuration; peers reply even while the store is down."""

    revision: int


class ConfigurationReply(Message, frozen=True):
    """The stored value at a revision; empty when the peer has none."""

    revision: int
    value: bytes


class Acknowledged(Message, frozen=True):
    """Reply without content, for requests that only need a confirmation."""


class Unsupported(Message, frozen=True):
    """Reply to a message whose type the receiver does not handle."""

    message_type: str


class EndpointLoad(Message, frozen=True):
    """Load of an endpoint as its owner sees it; `headroom` is in tokens."""

    bound: int
    running: int
    headroom: float


class PermitRequest(Message, frozen=True):
    """Asks the owner of an endpoint for one permit.

    `work` is the id under which the endpoint will list the work. `marks` are
    the fingerprints by which the quarantine recognizes the request.
    """

    endpoint: str
    work: str
    product: str
    workspace: str
    prompt_tokens: int
    max_tokens: int
    marks: tuple[str, ...]


class PermitGrant(Message, frozen=True):
    """A permit; its validity starts when the request was sent."""

    endpoint: str
    work: str
    validity_seconds: float
    load: EndpointLoad


class PermitDenied(Message, frozen=True):
    """No permit is granted now; `detail` is shown by explain.

    `retry_seconds` is the delay before the next request.
    """

    endpoint: str
    detail: str
    retry_seconds: float
    load: EndpointLoad


class EndpointFree(Message, frozen=True):
    """An endpoint for which permits were denied as busy has capacity again."""

    endpoint: str
    load: EndpointLoad


class PaceNotice(Message, frozen=True):
    """Tokens relayed from an endpoint in an interval.

    `gaps` is the number of gaps between tokens and `gap_seconds` their sum.
    """

    endpoint: str
    tokens: int
    gaps: int
    gap_seconds: float


class PermitRelease(Message, frozen=True):
    """The work under a permit has ended.

    `healthy` tells whether it ran to completion. `tokens` is the number of
    tokens produced, the first after `first_token_seconds` (0 when unknown).
    `certain` is false when the endpoint may still run the work or start it.
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
    """The stored value of the view; empty when the peer has none newer."""

    value: bytes


class ShareName(Message, frozen=True):
    """Identifies one share: address of the endpoint, rank and slot."""

    endpoint: str
    rank: int
    slot: int


class LoanRequest(Message, frozen=True):
    """Asks the holder of slots to lend shares to this incarnation."""

    incarnation: str
    shares: tuple[ShareName, ...]


class LentShare(Message, frozen=True):
    """A share that was lent, with the state that the lender had of it."""

    endpoint: str
    rank: int
    term: int
    fresh: bool


class LoanReply(Message, frozen=True):
    """Shares lent by an incarnation; requested ones not listed are not lent."""

    incarnation: str
    shares: tuple[LentShare, ...]


class LoanReturn(Message, frozen=True):
    """The borrower no longer uses these shares."""

    incarnation: str
    shares: tuple[ShareName, ...]


class DeathNotice(Message, frozen=True):
    """An endpoint died.

    `in_flight` has the fingerprints of each request that it was running.
    """

    identity: str
    in_flight: tuple[tuple[str, ...], ...]


class ClearanceNotice(Message, frozen=True):
    """Clears requests that completed after a death that implicated them.

    `pairs` are pairs of a request's fingerprint and the death.
    """

    pairs: tuple[tuple[str, str], ...]


class RefusalNotice(Message, frozen=True):
    """A request is refused permanently.

    `marks` are its fingerprints, `deaths` those of endpoints that ran it.
    """

    marks: tuple[str, ...]
    deaths: tuple[DeathNotice, ...]


class GenerationTaken(Message, frozen=True):
    """Another node took over the generation's stream and its permit."""

    generation: str


class ExplainRequest(Message, frozen=True):
    """Asks a peer for its decisions on a request."""

    request: str


class ExplainReply(Message, frozen=True):
    """Decisions on one request as JSON lines; empty when there are none."""

    request: str
    lines: tuple[str, ...]

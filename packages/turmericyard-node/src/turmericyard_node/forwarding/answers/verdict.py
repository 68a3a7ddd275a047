"""Decides from the head of an endpoint's answer how it is treated.

Each answer passes here before a byte of its body is read. The table of all
combinations is in docs/design/endpoint-answers.md.
"""

from enum import Enum

from turmericyard_ports.request import AnswerSigns

MULTIPLE_CHOICES = 300
REQUEST_TIMEOUT = 408
MISDIRECTED = 421
TOO_MANY_REQUESTS = 429
UNAVAILABLE = 503
#: Statuses that tell clients that their request has not run and never will.
REFUSAL_STATUSES = frozenset(
    (REQUEST_TIMEOUT, MISDIRECTED, TOO_MANY_REQUESTS, UNAVAILABLE)
)


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


def classify_answer(signs: AnswerSigns) -> Verdict:
    """Return how the answer with these signs is treated."""
    if signs.names_other_request:
        return Verdict.FOREIGN
    if is_misdirected(signs):
        return Verdict.MISDIRECTED
    is_success = signs.status < MULTIPLE_CHOICES
    if signs.states_not_run and not is_success:
        return Verdict.NOT_RUN
    if not signs.is_signed:
        return Verdict.UNSIGNED
    if signs.states_not_run or signs.status in REFUSAL_STATUSES:
        return Verdict.UNCLEAR
    if signs.is_encoded and is_success:
        return Verdict.ENCODED
    return Verdict.ANSWERED


def is_misdirected(signs: AnswerSigns) -> bool:
    """Return whether another endpoint answered that the request is not for it.

    Such an answer says who gives it or for which request. A signature is that
    of an endpoint which ran the request.
    """
    if signs.status != MISDIRECTED:
        return False
    if signs.states_not_run:
        return True
    has_origin = signs.names_request or signs.names_endpoint
    return has_origin and not signs.is_signed

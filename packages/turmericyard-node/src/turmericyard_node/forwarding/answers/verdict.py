"""Decides from the head of an endpoint's answer how it is treated.

Each answer passes here before a byte of its body is read. The table of all
combinations is in docs/design/endpoint-answers.md.
"""

from enum import Enum

from turmericyard_ports.request import AnswerSigns

OK = 200
MULTIPLE_CHOICES = 300
SERVER_ERROR = 500
MISDIRECTED = 421


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


def judge(signs: AnswerSigns) -> Verdict:
    """Return how the answer with these signs is treated."""
    if signs.names_other_request:
        return Verdict.FOREIGN
    if signs.status == MISDIRECTED:
        return Verdict.MISDIRECTED
    if signs.states_not_run:
        return Verdict.NOT_RUN
    if signs.status < SERVER_ERROR and not signs.is_signed:
        return Verdict.UNSIGNED
    return Verdict.ANSWERED

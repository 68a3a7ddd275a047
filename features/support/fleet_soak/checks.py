"""All promises that a soak checks."""

from support.fleet_soak.evidence import Check, Evidence
from support.fleet_soak.fleet_checks import (
    configurations_apply,
    configurations_stay,
    failures_are_logged,
    leaving_runners_are_left,
    nodes_end_in_time,
    nodes_recover,
    repeats_are_bounded,
    revoked_keys_are_refused,
)
from support.fleet_soak.request_checks import (
    answers_are_in_time,
    answers_belong,
    calls_are_answered,
    ending_nodes_cut_nothing,
    reads_run_rarely,
    refusals_are_true,
    requests_have_ids,
    streams_are_exact,
    streams_begin_once,
    writes_run_once,
)

CHECKS: tuple[Check, ...] = (
    writes_run_once,
    reads_run_rarely,
    streams_begin_once,
    requests_have_ids,
    answers_belong,
    streams_are_exact,
    refusals_are_true,
    answers_are_in_time,
    calls_are_answered,
    ending_nodes_cut_nothing,
    nodes_end_in_time,
    configurations_apply,
    configurations_stay,
    revoked_keys_are_refused,
    leaving_runners_are_left,
    repeats_are_bounded,
    failures_are_logged,
    nodes_recover,
)


def check_all(evidence: Evidence) -> dict[str, list[str]]:
    """Return what broke each promise, by the promise's words."""
    return {
        (check.__doc__ or check.__name__): list(check(evidence))
        for check in CHECKS
    }

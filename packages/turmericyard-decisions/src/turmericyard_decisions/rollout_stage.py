"""Stages of a version's roll-out and the exposure that each allows.

A stage advances on good responses. The new version first gets a part of its
exposure bound; what is left is used to move all requests to it for the last
seconds before the roll-out is completed, so that little runs at old endpoints
when these stop.
"""

from dataclasses import dataclass
from enum import IntEnum

from turmericyard_decisions.version_comparison import Evidence

#: Good responses of the new version from which the next stage begins.
SECOND_STAGE_GOOD = 10
THIRD_STAGE_GOOD = 40
#: Good responses without which a version is not completed.
MIN_GOOD = 20
#: Part of the threshold of suspicion above which no stage advances.
CALM_SUSPICION = 0.5
#: Time that is kept for writing the decision, as a part of the duration, and
#: its bounds in seconds: a write whose answer is lost takes 1.5 s, and state
#: and status are two writes.
MARGIN_PART = 0.1
MIN_MARGIN_SECONDS = 2.5
MAX_MARGIN_SECONDS = 4.0
#: Bounds of the time in which all requests move, in seconds and as a part of
#: the duration.
MIN_SHIFT_SECONDS = 0.5
MAX_SHIFT_SECONDS = 4.0
SHIFT_PART = 0.15
#: Time after which every node has seen a stage, in seconds.
SEEN_SECONDS = 1.0
#: Period of the third stage, in seconds: in a part of it the new endpoints get
#: the load of old ones, so that faults under load show.
PERIOD_SECONDS = 4.0
#: Tolerance of sums of shares.
ROUNDING = 1e-9


class Stage(IntEnum):
    """Stages of a roll-out in their order; the last two are final."""

    FIRST = 0
    SECOND = 1
    THIRD = 2
    SHIFTING = 3
    ROLLED_BACK = 4
    COMPLETED = 5

    @property
    def is_final(self) -> bool:
        """Return whether no other stage follows."""
        return self >= Stage.ROLLED_BACK


#: Part of the exposure bound that each stage allows. The first allows more than
#: the bad responses that show a bad version: with 0.2 a version that failed
#: every request was found only at the end of the order.
FRACTIONS = {
    Stage.FIRST: 0.35,
    Stage.SECOND: 0.5,
    Stage.THIRD: 0.6,
    Stage.SHIFTING: 1.0,
}


@dataclass(slots=True)
class ExposureBudget:
    """What one node may send to the new version.

    The bound holds at each node for its own counts, so that it holds for their
    sum whichever nodes are cut off. `slack` is this node's part.
    """

    share: float
    slack: float = 0
    sent: int = 0
    sent_new: int = 0

    def allows(self, fraction: float) -> bool:
        """Return whether one more request may be sent to the new version.

        The first request needs the whole bound only, not the part of a stage:
        at nodes with little traffic the part stays below one request.
        """
        bound = self.share * self.sent + self.slack
        allowed = max(min(1, bound), fraction * bound)
        return self.sent_new + 1 <= allowed + ROUNDING


@dataclass(frozen=True, slots=True)
class Progress:
    """How far a roll-out is.

    `age` is the time since the order and `duration` that of the order.
    `stage_age` is the time since the stage began and `spare_seconds` the time
    for which all requests may go to the new version within its bound.
    `is_old_in_use` tells whether something runs at old endpoints, and
    `has_all_counts` whether the hub has had time to receive all counts.
    """

    stage: Stage
    stage_age: float
    age: float
    duration: float
    spare_seconds: float
    is_old_in_use: bool = True
    has_all_counts: bool = True


def next_stage(progress: Progress, evidence: Evidence) -> tuple[Stage, str]:
    """Return the stage that follows now, and why."""
    stage = progress.stage
    if stage.is_final:
        return stage, ''
    if evidence.is_bad:
        return Stage.ROLLED_BACK, evidence.describe()
    if stage is Stage.SHIFTING:
        return complete(progress, evidence)
    if seconds_to_shift(progress) <= 0:
        return decide(progress, evidence)
    if evidence.suspicion < CALM_SUSPICION:
        if stage is Stage.FIRST and evidence.good >= SECOND_STAGE_GOOD:
            return Stage.SECOND, evidence.describe()
        if stage is Stage.SECOND and evidence.good >= THIRD_STAGE_GOOD:
            return Stage.THIRD, evidence.describe()
    return stage, ''


def decide(progress: Progress, evidence: Evidence) -> tuple[Stage, str]:
    """Return the stage at the end of the observation.

    A version with too little evidence gets the time until the last moment.
    """
    is_good = evidence.good >= MIN_GOOD and evidence.suspicion < CALM_SUSPICION
    if is_good:
        return Stage.SHIFTING, evidence.describe()
    is_last_moment = progress.age >= decision_age(progress.duration)
    if is_last_moment and progress.has_all_counts:
        return Stage.ROLLED_BACK, f'too little evidence: {evidence.describe()}'
    return progress.stage, ''


def complete(progress: Progress, evidence: Evidence) -> tuple[Stage, str]:
    """Return whether a roll-out that moves all requests is completed."""
    is_idle = progress.stage_age >= SEEN_SECONDS and not progress.is_old_in_use
    if is_idle or progress.age >= decision_age(progress.duration):
        return Stage.COMPLETED, evidence.describe()
    return progress.stage, ''


def decision_age(duration: float) -> float:
    """Return the age of an order at which it must be decided, in seconds."""
    margin = min(
        max(MARGIN_PART * duration, MIN_MARGIN_SECONDS), MAX_MARGIN_SECONDS
    )
    return duration - min(margin, duration / 2)


def seconds_to_shift(progress: Progress) -> float:
    """Return the time until all requests may move, in seconds."""
    shift = min(
        progress.spare_seconds,
        MAX_SHIFT_SECONDS,
        SHIFT_PART * progress.duration,
    )
    latest = decision_age(progress.duration)
    return latest - max(shift, MIN_SHIFT_SECONDS) - progress.age


def count_canaries(old: int, new: int, share: float) -> int:
    """Return how many new endpoints get requests before the decision.

    They are so few that each bears about the load of an old one.
    """
    wanted = round(share * old / (1 - share))
    return min(new, max(1, wanted))


def draw_probability(
    stage: Stage, canaries: int, old: int, share: float, age: float
) -> float:
    """Return the probability with which a request goes to the new version.

    Each canary gets as much as an old endpoint. In the third stage this is so
    for a part of each period, which makes up the share of the stage.
    """
    if not old or stage is Stage.SHIFTING:
        return 1
    probability = canaries / (canaries + old)
    if stage is not Stage.THIRD:
        return probability
    duty = min(1, FRACTIONS[stage] * share / probability)
    in_window = age % PERIOD_SECONDS >= (1 - duty) * PERIOD_SECONDS
    return probability if in_window else 0

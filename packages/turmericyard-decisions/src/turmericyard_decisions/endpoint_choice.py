"""Chooses the endpoint of a request among those with free capacity.

Takes two load patterns into account: bursts of long prompts, whose prefill
delays every other run on the engine, and runs whose memory grows as they go.
"""

from collections.abc import Callable, Sequence, Set
from dataclasses import dataclass
from random import Random

from turmericyard_decisions.endpoint_speed import EngineLoad

#: Prompt tokens that an engine reads in a second, from the engines' published
#: figures; determines the weight of prompts relative to running generations.
PROMPT_TOKENS_PER_SECOND = 14_000.0
#: Delay that each running generation adds to the reading of a whole prompt, in
#: seconds, from the engines' published figures.
RUN_DELAY_SECONDS = 0.01
#: Delay that is assumed for a full memory, in seconds; none for an empty one.
FULL_MEMORY_DELAY_SECONDS = 0.4
#: Delay that is assumed for another zone than the node's own, in seconds.
OTHER_ZONE_DELAY_SECONDS = 0.02
#: Share of an engine's memory up to which forecasts may fill it.
FORECAST_MEMORY_SHARE = 0.92
#: Share up to which memory may be filled by the copy of a run that leaves its
#: engine.
COPY_MEMORY_SHARE = 1.0
#: Share up to which memory may be filled by backups of other engines' runs.
BACKUP_MEMORY_SHARE = 0.7
#: Delay that is assumed for a stream that will pause for too long, in seconds:
#: callers expect first events of long generations within 1.8 to 4 s, and a
#: stream that pauses too long is worth as little as one that begins too late.
LATE_STREAM_SECONDS = 1.8


@dataclass(frozen=True, slots=True)
class CandidateLoad:
    """One endpoint as a candidate for a request.

    `slots` is the number of runs that the endpoint takes at the same time.
    `held_tokens` is the memory that runs and copies use now, in tokens,
    `memory_tokens` the memory that they are forecast to use when the runs end,
    `capacity` the whole memory, or 0 for no limit, and `unread_tokens` the
    prompt tokens that are not read yet.
    """

    identity: str
    zone: str
    slots: int
    running: int
    held_tokens: float = 0
    memory_tokens: float = 0
    capacity: float = 0
    unread_tokens: float = 0

    def has_room(
        self, tokens: float, share: float = FORECAST_MEMORY_SHARE
    ) -> bool:
        """Return whether a run fits whose memory at its end is `tokens`."""
        if self.running >= self.slots:
            return False
        if not self.capacity:
            return True
        return self.memory_tokens + tokens <= share * self.capacity

    def has_room_now(self, tokens: float, share: float) -> bool:
        """Return whether a copy of `tokens` fits now."""
        if self.running >= self.slots:
            return False
        if not self.capacity:
            return True
        return self.held_tokens + tokens <= share * self.capacity

    def fill(self) -> float:
        """Return the fraction of its memory that is used now."""
        return self.held_tokens / self.capacity if self.capacity else 0

    def delay(self, zone: str) -> float:
        """Return the expected delay of a new run from `zone`, in seconds."""
        memory = self.memory_tokens / self.capacity if self.capacity else 0
        return (
            self.unread_tokens / PROMPT_TOKENS_PER_SECOND
            + RUN_DELAY_SECONDS * self.running
            + FULL_MEMORY_DELAY_SECONDS * memory**2
            + OTHER_ZONE_DELAY_SECONDS * (self.zone != zone)
        )


def choose_engine(
    candidate_loads: Sequence[CandidateLoad],
    tokens: float,
    zone: str,
    random: Random,
) -> CandidateLoad | None:
    """Return the candidate with the least expected delay, None when none fits."""
    fitting = [
        candidate_load
        for candidate_load in candidate_loads
        if candidate_load.has_room(tokens)
    ]
    if not fitting:
        return None
    return min(
        fitting,
        key=lambda candidate_load: (
            candidate_load.delay(zone),
            random.random(),
        ),
    )


@dataclass(frozen=True, slots=True)
class PacedDemand:
    """A generation to place by speeds; `tokens` is its memory at its end.

    `pause_target` is the longest pause between two events of the streams of
    its service, in seconds, 0 for none.
    """

    prompt_tokens: float
    tokens: float
    zone: str
    pause_target: float
    tokens_per_event: int

    def engine_load(
        self, candidate_load: CandidateLoad, speed: float
    ) -> EngineLoad:
        """Return what the engine of a candidate does."""
        return EngineLoad(
            candidate_load.running,
            candidate_load.unread_tokens,
            speed,
            self.tokens_per_event,
        )

    def cost(
        self, candidate_load: CandidateLoad, speed: float
    ) -> tuple[float, float]:
        """Return the streams that would be late at a candidate, and the delay.

        The delay has the time to the first event and the risk that the stream
        itself is late: as long as it runs, prompts of other requests are read
        beside it, about one a second.
        """
        load = self.engine_load(candidate_load, speed)
        memory = candidate_load.memory_tokens / (candidate_load.capacity or 1)
        late_streams = load.late_streams(self.pause_target)
        first_event = load.first_event_seconds(self.prompt_tokens)
        load.unread_tokens = 0
        beside = load.late_share(self.pause_target)
        exposed = load.stream_seconds(self.tokens - self.prompt_tokens)
        return (
            late_streams,
            first_event
            + min(1, beside * exposed) * LATE_STREAM_SECONDS
            + FULL_MEMORY_DELAY_SECONDS * min(memory, 1) ** 2
            + OTHER_ZONE_DELAY_SECONDS * (candidate_load.zone != self.zone),
        )


def choose_paced_engine(
    candidate_loads: Sequence[CandidateLoad],
    speed_of: Callable[[str], float],
    demand: PacedDemand,
    random: Random,
) -> CandidateLoad | None:
    """Return the candidate by the learned speeds, None when none fits.

    `speed_of` returns the speed of an engine by its identity.
    Among those where all streams are expected to stay within the target, the
    one with the least delay; if there is none, the one with the fewest late
    streams. Whether a candidate fits does not depend on its speed, so that no
    request is refused for it.
    """
    fitting = [
        candidate_load
        for candidate_load in candidate_loads
        if candidate_load.has_room(demand.tokens)
    ]
    return min(
        fitting,
        key=lambda candidate_load: (
            *demand.cost(candidate_load, speed_of(candidate_load.identity)),
            random.random(),
        ),
        default=None,
    )


def choose_preferred_endpoint(
    candidate_loads: Sequence[CandidateLoad],
    preferred: str,
    rejected: Set[str],
    random: Random,
) -> CandidateLoad | None:
    """Return the candidate of a plain service with the fewest own calls.

    Candidates that have just `rejected` a call come later, among the
    others the `preferred` one first. A node with few calls notices only by its
    open calls and by rejections that an endpoint is busy.
    Returns None when no candidate has a free slot.
    """
    fitting = [
        candidate_load
        for candidate_load in candidate_loads
        if candidate_load.running < candidate_load.slots
    ]
    return min(
        fitting,
        key=lambda candidate_load: (
            candidate_load.running / candidate_load.slots,
            candidate_load.identity in rejected,
            candidate_load.identity != preferred,
            random.random(),
        ),
        default=None,
    )


def choose_service_endpoint(
    candidate_loads: Sequence[CandidateLoad], zone: str, random: Random
) -> CandidateLoad | None:
    """Return the least loaded candidate for a request to a plain service.

    Returns None when no candidate has a free slot.
    """
    fitting = [
        candidate_load
        for candidate_load in candidate_loads
        if candidate_load.running < candidate_load.slots
    ]
    if not fitting:
        return None
    return min(
        fitting,
        key=lambda candidate_load: (
            candidate_load.running / candidate_load.slots,
            candidate_load.zone != zone,
            random.random(),
        ),
    )


def choose_copy_endpoint(
    candidate_loads: Sequence[CandidateLoad],
    tokens: float,
    zone: str,
    random: Random,
) -> CandidateLoad | None:
    """Return the candidate for a copy of a run that must leave its engine.

    Candidates of the run's `zone` are preferred: a copy between zones takes
    twice as long and costs money. Returns None when no candidate fits.
    """
    fitting = [
        candidate_load
        for candidate_load in candidate_loads
        if candidate_load.has_room_now(tokens, COPY_MEMORY_SHARE)
    ]
    return min(
        fitting,
        key=lambda candidate_load: (
            candidate_load.zone != zone,
            candidate_load.fill(),
            random.random(),
        ),
        default=None,
    )


def choose_backup_endpoint(
    candidate_loads: Sequence[CandidateLoad],
    tokens: float,
    zone: str,
    random: Random,
) -> CandidateLoad | None:
    """Return the candidate for the backup of a run in `zone`.

    Candidates of other zones are preferred, since the engines of one zone may
    fail or be closed together. A backup is written while the run continues, so
    that the longer distance causes no delay. Returns None when no candidate
    fits.
    """
    fitting = [
        candidate_load
        for candidate_load in candidate_loads
        if candidate_load.has_room_now(tokens, BACKUP_MEMORY_SHARE)
    ]
    return min(
        fitting,
        key=lambda candidate_load: (
            candidate_load.zone == zone,
            candidate_load.fill(),
            random.random(),
        ),
        default=None,
    )

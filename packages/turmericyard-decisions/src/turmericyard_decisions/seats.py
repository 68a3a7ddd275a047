"""Chooses the endpoint of a request among those with room.

Answers two load patterns: bursts of long prompts, whose reading delays every
run beside them, and runs whose memory grows while they last.
"""

from collections.abc import Sequence
from dataclasses import dataclass
from random import Random

#: Prompt tokens that an engine reads in a second; sets the weight of prompts
#: against running requests, from the engines' published figures.
PROMPT_TOKENS_PER_SECOND = 14_000.0
#: Delay that each running generation adds to a step, in seconds of the whole
#: prompt's reading; from the engines' published figures.
RUN_SECONDS = 0.01
#: Delay taken for a full memory against an empty one, in seconds.
MEMORY_SECONDS = 0.4
#: Advantage of the node's own zone, in seconds.
ZONE_SECONDS = 0.02
#: Share of an engine's memory that forecasts may fill.
MEMORY_SHARE = 0.92
#: Share of the memory that may be taken after a copy of a leaving run.
COPY_SHARE = 1.0
#: Share up to which memory may be lent to backups of other engines' runs.
BACKUP_SHARE = 0.7


@dataclass(frozen=True, slots=True)
class Seat:
    """One endpoint as a place for a request.

    `held_tokens` is the memory that runs and copies take now,
    `memory_tokens` the forecast when its runs are at their likely ends,
    `capacity` 0 where it has no such limit, `unread_tokens` the prompts not
    yet read.
    """

    identity: str
    zone: str
    slots: int
    running: int
    held_tokens: float = 0
    memory_tokens: float = 0
    capacity: float = 0
    unread_tokens: float = 0

    def has_room(self, tokens: float, share: float = MEMORY_SHARE) -> bool:
        """Return whether a run fits that will hold so many tokens."""
        if self.running >= self.slots:
            return False
        if not self.capacity:
            return True
        return self.memory_tokens + tokens <= share * self.capacity

    def has_room_now(self, tokens: float, share: float) -> bool:
        """Return whether a copy of so many tokens fits now."""
        if self.running >= self.slots:
            return False
        if not self.capacity:
            return True
        return self.held_tokens + tokens <= share * self.capacity

    def fill(self) -> float:
        """Return the part of its memory that is taken now."""
        return self.held_tokens / self.capacity if self.capacity else 0

    def delay(self, zone: str) -> float:
        """Return the expected delay of a new run, in seconds."""
        memory = self.memory_tokens / self.capacity if self.capacity else 0
        return (
            self.unread_tokens / PROMPT_TOKENS_PER_SECOND
            + RUN_SECONDS * self.running
            + MEMORY_SECONDS * memory**2
            + ZONE_SECONDS * (self.zone != zone)
        )


def choose_seat(
    seats: Sequence[Seat],
    tokens: float,
    zone: str,
    random: Random,
) -> Seat | None:
    """Return the seat with the least expected delay, None without room."""
    fitting = [seat for seat in seats if seat.has_room(tokens)]
    if not fitting:
        return None
    return min(fitting, key=lambda seat: (seat.delay(zone), random.random()))


def choose_service_seat(
    seats: Sequence[Seat], zone: str, random: Random
) -> Seat | None:
    """Return the least loaded seat of a plain service with a free slot."""
    fitting = [seat for seat in seats if seat.running < seat.slots]
    if not fitting:
        return None
    return min(
        fitting,
        key=lambda seat: (
            seat.running / seat.slots,
            seat.zone != zone,
            random.random(),
        ),
    )


def choose_copy_seat(
    seats: Sequence[Seat], tokens: float, zone: str, random: Random
) -> Seat | None:
    """Return the seat for a copy of a run that must leave its engine in `zone`.

    A copy between zones takes twice as long and is paid for, so that the
    zone goes first.
    """
    fitting = [seat for seat in seats if seat.has_room_now(tokens, COPY_SHARE)]
    return min(
        fitting,
        key=lambda seat: (seat.zone != zone, seat.fill(), random.random()),
        default=None,
    )


def choose_backup_seat(
    seats: Sequence[Seat], tokens: float, zone: str, random: Random
) -> Seat | None:
    """Return the seat for the backup of a run in `zone`.

    Engines of one zone go down together, or are closed together, so that
    another zone goes first. A backup is written as the run goes on, so that
    the longer way delays nothing.
    """
    fitting = [
        seat for seat in seats if seat.has_room_now(tokens, BACKUP_SHARE)
    ]
    return min(
        fitting,
        key=lambda seat: (seat.zone == zone, seat.fill(), random.random()),
        default=None,
    )

"""Generations whose caller disconnected.

Each is cancelled unless it is resumed within a grace period.
"""

from dataclasses import dataclass, field
from typing import TYPE_CHECKING

import curio
from returns.result import Success

from turmericyard_node.events import Event, log_event
from turmericyard_node.resume_token import ResumePoint
from turmericyard_protocol.messages import PermitRelease

if TYPE_CHECKING:
    from turmericyard_node.application import Application


@dataclass(slots=True)
class AbandonedGenerations:
    """Ids of generations that no caller of this node reads any more."""

    application: 'Application'
    generations: set[str] = field(default_factory=set)

    async def add(self, point: ResumePoint) -> None:
        """Cancel the generation unless it is resumed within the grace period."""
        self.generations.add(point.generation)
        await self.application.tasks.spawn(self.cancel_after_grace, point)

    def mark_resumed(self, generation: str) -> None:
        """Keep a resumed generation from being cancelled."""
        self.generations.discard(generation)

    async def cancel_after_grace(self, point: ResumePoint) -> None:
        """Cancel the generation if it was not resumed in the grace period."""
        timing = self.application.settings.timing
        await curio.sleep(timing.abandon_grace_seconds)
        if point.generation in self.generations:
            self.generations.discard(point.generation)
            await cancel_generation(self.application, point)


async def cancel_generation(
    application: 'Application', point: ResumePoint
) -> None:
    """Cancel a generation at its engine and release its permit."""
    engine = application.clients.engine(point.address)
    cancelled = await engine.cancel_generation(point.generation)
    log_event(Event.GENERATION_CANCELLED, request=point.request)
    await application.permits.release(
        PermitRelease(
            point.endpoint,
            point.generation,
            point.product,
            point.workspace,
            healthy=False,
            certain=isinstance(cancelled, Success),
        )
    )

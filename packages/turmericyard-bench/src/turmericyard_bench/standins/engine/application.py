"""Runs the engine model on the boot clock and serves its generations."""

import time
from typing import Any

import curio

from turmericyard_bench.engine.events import (
    EngineCrashed,
    EngineEvent,
    GenerationDone,
    TokenProduced,
)
from turmericyard_bench.engine.model import EngineModel
from turmericyard_bench.standins.engine.held import (
    TICK_SECONDS,
    HeldGeneration,
    tick_readers,
    wake_readers,
)
from turmericyard_bench.standins.engine.ledger import Ledger, Occurrence
from turmericyard_bench.standins.engine.settings import StandInSettings
from turmericyard_bench.standins.engine.sockets import FaultyListener
from turmericyard_bench.standins.engine.weights import (
    ACCEPTED,
    UNAVAILABLE,
    Deployment,
)
from turmericyard_bench.standins.engine.weights_fetch import (
    create_weights_client,
    read_weights,
)
from turmericyard_http.answer_writer import Limits
from turmericyard_http.client import ClientStream
from turmericyard_http.clock import boot_seconds
from turmericyard_http.exchange import Handler
from turmericyard_http.server import (
    listener_port,
    open_listener,
    serve_http,
)

MAX_BODY_BYTES = 16_777_216
#: So long that only clients close connections for idleness.
IDLE_SECONDS = 86_400
LIMITS = Limits(body_bytes=MAX_BODY_BYTES, idle_seconds=IDLE_SECONDS)
#: Time to send the answer of a control request before the loop blocks.
FREEZE_DELAY_SECONDS = 0.05


class EngineApplication:
    """State of one engine stand-in; `handler` serves its protocol."""

    def __init__(self, settings: StandInSettings) -> None:
        self.settings = settings
        self.port = settings.port
        self.model = EngineModel(
            settings.shape,
            settings.name,
            warm=settings.start_warm,
            lag_seconds=settings.lag_seconds,
        )
        self.deployment = Deployment(
            model=settings.model,
            version=settings.version,
            role=settings.role,
            adapters=settings.adapters,
            checks_fencing=settings.checks_fencing,
            weights_seconds=settings.weights_seconds,
            fetches_weights=bool(settings.weights_store),
        )
        self.weights_client = create_weights_client(
            settings.name, settings.weights_store
        )
        self.held: dict[str, HeldGeneration] = {}
        self.ledger = Ledger()
        self.listener: FaultyListener | None = None
        self.server: Any = None
        self.handler: Handler | None = None
        self.submitted = curio.Event()
        self.crash_marker: int | None = None
        self.repeated_resumes = 0
        self.skipped_resumes = 0
        self.is_leaving = False

    async def open(self, handler: Handler) -> None:
        """Start serving the protocol of the engine."""
        self.handler = handler
        listener = open_listener(self.settings.host, self.port)
        self.port = listener_port(listener)
        self.listener = FaultyListener(listener)
        self.server = await curio.spawn(
            serve_http, self.listener, handler, LIMITS, daemon=True
        )

    async def close(self, *, reset: bool) -> None:
        """Stop serving; close or reset the open connections."""
        if self.listener is not None and reset:
            self.listener.reset_on_close()
        if self.server is not None:
            await self.server.cancel()
        self.listener = None
        self.server = None

    async def run_model(self) -> None:
        """Step the model on the boot clock until cancelled."""
        while True:
            due = self.model.next_event_time()
            if due is None:
                self.submitted.clear()
                await self.submitted.wait()
                continue
            delay = due - boot_seconds()
            if delay > 0:
                await curio.sleep(delay)
            await self.dispatch(self.model.step(boot_seconds()))

    async def dispatch(self, events: list[EngineEvent]) -> None:
        """Apply the events of a step."""
        now = boot_seconds()
        for event in events:
            if isinstance(event, TokenProduced):
                held = self.held[event.generation]
                if held.start is None:
                    held.start = now
                held.produced = event.offset + 1
                await wake_readers(held)
            elif isinstance(event, GenerationDone):
                await self.finish(event.generation, event.reason)
            elif isinstance(event, EngineCrashed):
                await curio.spawn(self.restart, event, daemon=True)

    async def finish(self, generation: str, reason: str) -> None:
        """Record the end of a generation and wake its readers."""
        held = self.held.get(generation)
        if held is not None and held.end is None:
            held.reason = reason
            held.end = boot_seconds()
            await wake_readers(held)

    async def restart(self, crashed: EngineCrashed) -> None:
        """Reset all connections, stay down for a time, then serve cold."""
        self.record('crash', ' '.join(crashed.generations))
        for held in self.held.values():
            if held.end is None:
                held.reason = 'crashed'
                held.end = boot_seconds()
        self.held.clear()
        await self.close(reset=True)
        await curio.sleep(self.settings.shape.down_seconds)
        if self.handler is not None and not self.is_leaving:
            await self.open(self.handler)
            self.record('restart', self.model.restart)

    async def start_load(self) -> int:
        """Start the fetch that an order needs; return its HTTP status."""
        needed = self.deployment.next_fetch()
        if self.weights_client is None or needed is None:
            return ACCEPTED
        stream = await self.weights_client.open_weights(*needed)
        if stream is None:
            self.deployment.end_fetch(
                self.model, boot_seconds(), complete=False
            )
            return UNAVAILABLE
        await curio.spawn(self.load_weights, stream, daemon=True)
        return ACCEPTED

    async def load_weights(self, stream: ClientStream) -> None:
        """Read the weights and record the end of the load."""
        complete = await read_weights(stream)
        self.record('load' if complete else 'load-cut')
        self.deployment.end_fetch(self.model, boot_seconds(), complete=complete)

    async def crash(self) -> None:
        """Crash the engine immediately."""
        await self.dispatch(self.model.crash(boot_seconds()))

    async def cancel(self, generation: str, reason: str) -> None:
        """End an unfinished generation with the given reason."""
        self.model.cancel(generation, boot_seconds())
        await self.finish(generation, reason)

    async def reclaim(self, notice_seconds: float) -> None:
        """Crash after the notice and never restart."""
        self.is_leaving = True
        self.record('reclaim', str(notice_seconds))
        await curio.sleep(notice_seconds)
        await self.crash()

    async def freeze(self, seconds: float) -> None:
        """Block the whole process, like a paused VM."""
        self.record('freeze', str(seconds))
        await curio.sleep(FREEZE_DELAY_SECONDS)
        time.sleep(seconds)

    async def run_housekeeping(self) -> None:
        """Finish loads, send heartbeats and end abandoned generations."""
        while True:
            await curio.sleep(TICK_SECONDS)
            now = boot_seconds()
            self.deployment.finish_loads(self.model, now)
            for held in tuple(self.held.values()):
                await tick_readers(held)
                await self.end_abandoned(held, now)

    async def end_abandoned(self, held: HeldGeneration, now: float) -> None:
        """Cancel a generation without readers; discard one that ended.

        The settings `grace_seconds` and `kept_seconds` say after what time.
        """
        settings = self.settings
        if held.end is None:
            abandoned = now - held.abandoned_at > settings.grace_seconds
            if abandoned and not held.readers:
                await self.cancel(held.generation, 'abandoned')
        elif now - held.end > settings.kept_seconds:
            self.held.pop(held.generation, None)

    def record(self, kind: str, detail: str = '') -> None:
        """Record an occurrence in the ledger."""
        self.ledger.occurrences.append(Occurrence(boot_seconds(), kind, detail))

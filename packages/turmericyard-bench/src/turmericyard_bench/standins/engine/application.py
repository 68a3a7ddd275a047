"""The stand-in's process: model, readers, faults and listeners."""

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
    create_fetch,
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
#: Connections of the stand-in are closed by their clients.
IDLE_SECONDS = 86_400
LIMITS = Limits(body_bytes=MAX_BODY_BYTES, idle_seconds=IDLE_SECONDS)
#: Lets the answer to a control request out before the loop blocks.
FREEZE_DELAY_SECONDS = 0.05


class EngineApplication:
    """One engine; `handler` serves its protocol."""

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
            fetches=bool(settings.weights_store),
        )
        self.fetch = create_fetch(settings.name, settings.weights_store)
        self.held: dict[str, HeldGeneration] = {}
        self.ledger = Ledger()
        self.listener: FaultyListener | None = None
        self.server: Any = None
        self.handler: Handler | None = None
        self.wake = curio.Event()
        self.crash_marker: int | None = None
        self.repeated_resumes = 0
        self.skipped_resumes = 0
        self.is_leaving = False

    async def open(self, handler: Handler) -> None:
        """Start to serve the engine's protocol."""
        self.handler = handler
        listener = open_listener(self.settings.host, self.port)
        self.port = listener_port(listener)
        self.listener = FaultyListener(listener)
        self.server = await curio.spawn(
            serve_http, self.listener, handler, LIMITS, daemon=True
        )

    async def close(self, *, reset: bool) -> None:
        """Stop serving; open connections are closed or reset."""
        if self.listener is not None and reset:
            self.listener.reset_on_close()
        if self.server is not None:
            await self.server.cancel()
        self.listener = None
        self.server = None

    async def run_model(self) -> None:
        """Step the model on the boot clock, for ever."""
        while True:
            due = self.model.next_event_time()
            if due is None:
                self.wake.clear()
                await self.wake.wait()
                continue
            delay = due - boot_seconds()
            if delay > 0:
                await curio.sleep(delay)
            await self.dispatch(self.model.step(boot_seconds()))

    async def dispatch(self, events: list[EngineEvent]) -> None:
        """Carry out what a step brought about."""
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
        """Record the end of a generation and tell its readers."""
        held = self.held.get(generation)
        if held is not None and held.end is None:
            held.reason = reason
            held.end = boot_seconds()
            await wake_readers(held)

    async def restart(self, crashed: EngineCrashed) -> None:
        """Reset all connections, stay down, then serve cold."""
        self.note('crash', ' '.join(crashed.generations))
        for held in self.held.values():
            if held.end is None:
                held.reason = 'crashed'
                held.end = boot_seconds()
        self.held.clear()
        await self.close(reset=True)
        await curio.sleep(self.settings.shape.down_seconds)
        if self.handler is not None and not self.is_leaving:
            await self.open(self.handler)
            self.note('restart', self.model.restart)

    async def begin_load(self) -> int:
        """Begin the fetch that an order needs; return the order's status."""
        wanted = self.deployment.fetch_wanted()
        if self.fetch is None or wanted is None:
            return ACCEPTED
        stream = await self.fetch.begin(*wanted)
        if stream is None:
            self.deployment.end_fetch(self.model, boot_seconds(), whole=False)
            return UNAVAILABLE
        await curio.spawn(self.load_weights, stream, daemon=True)
        return ACCEPTED

    async def load_weights(self, stream: ClientStream) -> None:
        """Read the weights and end the load."""
        whole = await read_weights(stream)
        self.note('load' if whole else 'load-cut')
        self.deployment.end_fetch(self.model, boot_seconds(), whole=whole)

    async def crash(self) -> None:
        """Die now."""
        await self.dispatch(self.model.crash(boot_seconds()))

    async def cancel(self, generation: str, reason: str) -> None:
        """End an unfinished generation."""
        self.model.cancel(generation, boot_seconds())
        await self.finish(generation, reason)

    async def reclaim(self, notice_seconds: float) -> None:
        """Leave for good after the notice."""
        self.is_leaving = True
        self.note('reclaim', str(notice_seconds))
        await curio.sleep(notice_seconds)
        await self.crash()

    async def freeze(self, seconds: float) -> None:
        """Block the whole process, as a paused VM would."""
        self.note('freeze', str(seconds))
        await curio.sleep(FREEZE_DELAY_SECONDS)
        time.sleep(seconds)

    async def keep_house(self) -> None:
        """Send heartbeats, end abandoned generations, finish loads."""
        while True:
            await curio.sleep(TICK_SECONDS)
            now = boot_seconds()
            self.deployment.finish_loads(self.model, now)
            for held in tuple(self.held.values()):
                await tick_readers(held)
                await self.end_abandoned(held, now)

    async def end_abandoned(self, held: HeldGeneration, now: float) -> None:
        """Cancel what nobody reads and forget what ended long ago."""
        settings = self.settings
        if held.end is None:
            abandoned = now - held.abandoned_at > settings.grace_seconds
            if abandoned and not held.readers:
                await self.cancel(held.generation, 'abandoned')
        elif now - held.end > settings.kept_seconds:
            self.held.pop(held.generation, None)

    def note(self, kind: str, detail: str = '') -> None:
        """Add an occurrence to the ledger."""
        self.ledger.occurrences.append(Occurrence(boot_seconds(), kind, detail))

"""Control port of the engine stand-in: faults and the ledger."""

from collections.abc import Mapping
from dataclasses import dataclass
from typing import Any

import curio

from turmericyard_bench.standins.engine.application import EngineApplication
from turmericyard_bench.standins.engine.protocol import EngineProtocol
from turmericyard_bench.transcript import word_token
from turmericyard_http.answer_writer import Answer
from turmericyard_http.clock import boot_seconds
from turmericyard_http.messages import Request


@dataclass(slots=True)
class EngineControl:
    """Applies faults and returns the ledger."""

    application: EngineApplication
    protocol: EngineProtocol

    async def answer(self, request: Request) -> Answer:
        """Answer one request of the protocol of the engine."""
        return await self.protocol.handle(request)

    def ledger(self) -> Any:
        """Return the ledger as plain JSON values."""
        application = self.application
        return application.ledger.as_json(application.model, boot_seconds())

    async def control(self, faults: Mapping[str, Any]) -> None:
        """Apply faults; raises ValueError for an unknown one."""
        known = {
            'cold': self.turn_cold,
            'crash': self.crash,
            'freeze_seconds': self.freeze,
            'silence': self.silence,
            'crash_marker': self.set_crash_marker,
            'lag_seconds': self.set_lag,
            'repeat_chunk': self.repeat_tokens,
            'skip_chunk': self.skip_tokens,
            'reclaim_seconds': self.reclaim,
            'refused_loads': self.refuse_loads,
        }
        unknown = sorted(set(faults) - set(known))
        if unknown:
            raise ValueError(f'unknown faults {unknown}: use {sorted(known)}')
        for name, argument in faults.items():
            await known[name](argument)

    async def turn_cold(self, argument: Any) -> None:
        """Make the engine cold without a restart."""
        if argument:
            self.application.record('cold')
            self.application.model.turn_cold(boot_seconds())

    async def crash(self, argument: Any) -> None:
        """Crash the engine, which restarts cold."""
        if argument:
            await self.application.crash()

    async def freeze(self, argument: Any) -> None:
        """Block the process for the given seconds."""
        await curio.spawn(self.application.freeze, float(argument), daemon=True)

    async def silence(self, argument: Any) -> None:
        """Make the open connections silent permanently."""
        if argument and self.application.listener is not None:
            self.application.record('silence')
            self.application.listener.silence()

    async def set_crash_marker(self, argument: Any) -> None:
        """Crash on prompts that contain the word or token; null for none."""
        if isinstance(argument, str):
            argument = word_token(argument)
        self.application.crash_marker = argument

    async def set_lag(self, argument: Any) -> None:
        """Set the lag of load reports and cache events, in seconds."""
        self.application.model.history.lag_seconds = float(argument)
        self.application.model.cache.lag_seconds = float(argument)

    async def repeat_tokens(self, argument: Any) -> None:
        """Repeat a token at the start of the given number of resumes."""
        self.application.repeated_resumes = int(argument)

    async def skip_tokens(self, argument: Any) -> None:
        """Skip a token at the start of the given number of resumes."""
        self.application.skipped_resumes = int(argument)

    async def reclaim(self, argument: Any) -> None:
        """Crash after a notice of the given seconds, without a restart."""
        await curio.spawn(
            self.application.reclaim, float(argument), daemon=True
        )

    async def refuse_loads(self, argument: Any) -> None:
        """Refuse the given number of loads, as the weights store would."""
        self.application.deployment.refused_loads = int(argument)

"""The control port: faults and the ledger."""

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
    """Brings faults about and shows the ledger."""

    application: EngineApplication
    protocol: EngineProtocol

    async def answer(self, request: Request) -> Answer:
        """Answer one request of the engine's protocol."""
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
            'crash_marker': self.mark,
            'lag_seconds': self.lag,
            'repeat_chunk': self.repeat,
            'skip_chunk': self.skip,
            'reclaim_seconds': self.reclaim,
            'refused_loads': self.refuse_loads,
        }
        unknown = sorted(set(faults) - set(known))
        if unknown:
            raise ValueError(f'unknown faults {unknown}: use {sorted(known)}')
        for name, argument in faults.items():
            await known[name](argument)

    async def turn_cold(self, argument: Any) -> None:
        """Turn cold without warning."""
        if argument:
            self.application.note('cold')
            self.application.model.turn_cold(boot_seconds())

    async def crash(self, argument: Any) -> None:
        """Die and come back cold."""
        if argument:
            await self.application.crash()

    async def freeze(self, argument: Any) -> None:
        """Block the process for some seconds."""
        await curio.spawn(self.application.freeze, float(argument), daemon=True)

    async def silence(self, argument: Any) -> None:
        """Make open connections silent for good."""
        if argument and self.application.listener is not None:
            self.application.note('silence')
            self.application.listener.silence()

    async def mark(self, argument: Any) -> None:
        """Crash on prompts that hold a word or token; null for none."""
        if isinstance(argument, str):
            argument = word_token(argument)
        self.application.crash_marker = argument

    async def lag(self, argument: Any) -> None:
        """Publish load and cache events later."""
        self.application.model.history.lag_seconds = float(argument)
        self.application.model.cache.lag_seconds = float(argument)

    async def repeat(self, argument: Any) -> None:
        """Repeat a token at the start of the next resumes."""
        self.application.repeated_resumes = int(argument)

    async def skip(self, argument: Any) -> None:
        """Skip a token at the start of the next resumes."""
        self.application.skipped_resumes = int(argument)

    async def reclaim(self, argument: Any) -> None:
        """Leave for good after a notice."""
        await curio.spawn(
            self.application.reclaim, float(argument), daemon=True
        )

    async def refuse_loads(self, argument: Any) -> None:
        """Let the weights store refuse the next loads."""
        self.application.deployment.refused_loads = int(argument)

"""A caller of one engine through the engine client."""

import curio
from behave.runner import Context

from turmericyard_bench.transcript import length_word, word_token
from turmericyard_clients.engine import create_engine_client
from turmericyard_clients.engine_events import (
    Done,
    Heartbeat,
    StreamBroken,
    Token,
)
from turmericyard_clients.engine_reports import EngineLoad, GenerationStart

MODEL = 'report-model'


class Caller:
    """Keeps one client, one stream and what was read from it."""

    def __init__(self, address: str, generation: str = 'g') -> None:
        self.generation = generation
        self.kernel = curio.Kernel()
        self.client = create_engine_client(address)
        self.stream = None
        self.text = ''
        self.tokens = 0
        self.broken = None
        self.heartbeats = 0
        self.prompt = []

    def run(self, function, *args):
        return self.kernel.run(function, *args)

    def close(self) -> None:
        self.kernel.run(shutdown=True)

    async def start(self, length, *, prompt=(1, 2, 3), model=MODEL):
        self.prompt = [*prompt, word_token(length_word(length))]
        start = GenerationStart(
            self.generation, 'r', model, self.prompt, 32_768
        )
        return await self.client.start_generation(start)

    async def open(self, length, prompt=(1, 2, 3)):
        self.stream = (await self.start(length, prompt=prompt)).unwrap()

    async def resume(self):
        resumed = await self.client.resume_generation(
            self.generation, self.tokens
        )
        self.stream = resumed.unwrap()

    async def read(self, tokens=None):
        """Read until so many tokens, the end or a broken stream."""
        while tokens is None or self.tokens < tokens:
            for event in await self.stream.read_events():
                if isinstance(event, Token):
                    assert event.offset == self.tokens
                    self.text += event.text
                    self.tokens += 1
                elif isinstance(event, StreamBroken):
                    self.broken = event
                    return
                elif isinstance(event, Done):
                    assert event.tokens == self.tokens
                    return
                elif isinstance(event, Heartbeat) and not self.tokens:
                    self.heartbeats += 1

    async def first_token(self):
        await self.resume()
        while True:
            for event in await self.stream.read_events():
                if isinstance(event, Token):
                    return event.offset


async def start_many(client, count: int) -> None:
    for index in range(count):
        prompt = [index, word_token(length_word(1000))]
        start = GenerationStart(f'g{index}', 'r', MODEL, prompt, 1000)
        await client.start_generation(start)


def load(context: Context) -> EngineLoad:
    """Return what the engine reports of itself."""
    return context.caller.run(context.caller.client.load).unwrap()

"""Labels asked for all the time in the background of a scenario."""

import threading

import curio

from support.runs import Run
from turmericyard_bench.records import StreamRecord

PAUSE_SECONDS = 0.08
PATIENCE_SECONDS = 40
LABEL = 'fixture-label'


class Labels:
    """Asks for one label after the other, several at once, until stopped."""

    def __init__(self, run: Run, pause_seconds: float = PAUSE_SECONDS) -> None:
        self.run = run
        self.pause_seconds = pause_seconds
        self.stopping = threading.Event()
        self.records: list[StreamRecord] = []
        self.thread = threading.Thread(
            target=curio.run, args=(self.ask,), daemon=True
        )
        self.thread.start()

    async def ask(self) -> None:
        caller = self.run.caller()
        async with curio.TaskGroup() as group:
            while not self.stopping.is_set():
                number = len(self.records)
                record = StreamRecord(
                    f'label-{number}', caller.workspace, LABEL, f'tap {number}'
                )
                self.records.append(record)
                await group.spawn(self.ask_one, record)
                await curio.sleep(self.pause_seconds)

    async def ask_one(self, record: StreamRecord) -> None:
        await self.run.caller().stream(
            record, max_tokens=6, patience_seconds=PATIENCE_SECONDS
        )

    def stop(self) -> None:
        self.stopping.set()
        self.thread.join(2 * PATIENCE_SECONDS)
        assert not self.thread.is_alive(), 'labels did not end'
        self.run.load.streams.extend(self.records)

"""Load that runs beside the steps of a scenario.

The thread is the test's own: the system under test runs as processes.
"""

import threading

import curio

from turmericyard_bench.deployment import Deployment
from turmericyard_bench.mixed_load import Mix, MixedLoad, create_load
from turmericyard_bench.records import LoadRecord

JOIN_SECONDS = 90


class BackgroundLoad:
    """A `MixedLoad` in a thread; `stop` waits for every answer."""

    def __init__(self, load: MixedLoad) -> None:
        self.load = load
        self.error: BaseException | None = None
        self.thread = threading.Thread(target=self.run, daemon=True)
        self.thread.start()

    def run(self) -> None:
        try:
            curio.run(self.load.run)
        except BaseException as error:
            self.error = error

    def stop(self) -> LoadRecord:
        self.load.stopping = True
        self.thread.join(JOIN_SECONDS)
        assert not self.thread.is_alive(), 'the load did not end'
        if self.error is not None:
            raise self.error
        return self.load.record


def start_load(
    deployment: Deployment, mix: Mix, seed: int = 1
) -> BackgroundLoad:
    addresses = [node.address for node in deployment.nodes.values()]
    return BackgroundLoad(
        create_load(
            lambda: list(addresses), deployment.example.workspaces, mix, seed
        )
    )

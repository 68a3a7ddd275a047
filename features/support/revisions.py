"""Polls of the revision that each node has in force."""

import threading
import time

from turmericyard_bench.deployment import Deployment, NodeProcess
from turmericyard_bench.invariants import RevisionSeen
from turmericyard_http.clock import boot_seconds

POLL_SECONDS = 0.05


class RevisionPolls:
    """One thread a node, so that a frozen node delays no other."""

    def __init__(self, deployment: Deployment) -> None:
        self.seen: list[RevisionSeen] = []
        self.stopping = False
        self.threads = [
            threading.Thread(target=self.poll, args=(node,), daemon=True)
            for node in deployment.nodes.values()
        ]
        for thread in self.threads:
            thread.start()

    def poll(self, node: NodeProcess) -> None:
        while not self.stopping:
            revision = node.revision()
            if revision >= 0:
                self.seen.append(
                    RevisionSeen(node.name, revision, boot_seconds())
                )
            time.sleep(POLL_SECONDS)

    def stop(self) -> list[RevisionSeen]:
        self.stopping = True
        for thread in self.threads:
            thread.join()
        return self.seen

"""A set of background tasks that are cancelled together."""

from collections.abc import Callable, Coroutine
from dataclasses import dataclass, field
from typing import Any

import curio


@dataclass(slots=True)
class BackgroundTasks:
    """Running tasks; each one leaves the set when it ends."""

    tasks: set[Any] = field(default_factory=set)

    async def spawn(
        self, function: Callable[..., Coroutine[Any, Any, Any]], *args: Any
    ) -> Any:
        """Start the coroutine function and return its task."""
        task = await curio.spawn(self.run_and_discard, function, *args)
        task.daemon = True
        self.tasks.add(task)
        return task

    async def run_and_discard(
        self, function: Callable[..., Coroutine[Any, Any, Any]], *args: Any
    ) -> None:
        """Run the function, then remove its task from the set."""
        task = await curio.current_task()
        try:
            await function(*args)
        finally:
            self.tasks.discard(task)

    async def cancel_all(self) -> None:
        """Cancel every task and wait until all have ended."""
        current = await curio.current_task()
        running = [task for task in self.tasks if task is not current]
        for task in running:
            await task.cancel(blocking=False)
        for task in running:
            await task.wait()

    async def wait_all(self) -> None:
        """Wait until every task that is running now has ended."""
        for task in tuple(self.tasks):
            await task.wait()

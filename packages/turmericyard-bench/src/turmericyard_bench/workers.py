"""Worker processes that stop when the process that started them does."""

import os
import signal
import sys
from collections.abc import Callable, Iterable
from concurrent.futures import ProcessPoolExecutor
from multiprocessing import active_children, get_context, parent_process
from threading import Thread
from types import FrameType
from typing import TypeVar

#: Most workers, and number of processors left to other programs.
MAX_WORKERS = 8
SPARE_PROCESSORS = 2
#: Added to a signal's number in the exit status, as shells do.
SIGNAL_STATUS = 128

Item = TypeVar('Item')
Answer = TypeVar('Answer')


def default_workers() -> int:
    """Return the number of workers for this machine, at least 1."""
    spare = (os.cpu_count() or 1) - SPARE_PROCESSORS
    return max(1, min(MAX_WORKERS, spare))


def map_in_workers(
    function: Callable[[Item], Answer],
    items: Iterable[Item],
    workers: int,
) -> list[Answer]:
    """Return the function's results in the order of the items.

    The workers never outlive the call: they are terminated when it raises,
    and exit by themselves when this process stops.
    """
    others = frozenset(active_children())
    executor = ProcessPoolExecutor(
        workers, get_context('spawn'), initializer=prepare_worker
    )
    try:
        return list(executor.map(function, items))
    except BaseException:
        executor.shutdown(wait=False, cancel_futures=True)
        for worker in frozenset(active_children()) - others:
            worker.terminate()
        raise
    finally:
        executor.shutdown()


def prepare_worker() -> None:
    """Ignore interrupts and exit when the starting process stops."""
    signal.signal(signal.SIGINT, signal.SIG_IGN)
    Thread(target=end_with_parent, daemon=True).start()


def end_with_parent() -> None:
    """Exit when the process that started this one has stopped."""
    parent = parent_process()
    if parent is not None:
        parent.join()
        os._exit(1)


def unwind_on_signals() -> None:
    """Make SIGTERM and SIGHUP raise SystemExit, so that clean-up code runs."""
    for number in (signal.SIGTERM, signal.SIGHUP):
        signal.signal(number, exit_with_signal_status)


def exit_with_signal_status(number: int, frame: FrameType | None) -> None:
    """Raise SystemExit with the status of the signal."""
    sys.exit(SIGNAL_STATUS + number)

"""Starts, watches and ends the processes of tests, demos and soaks."""

import atexit
import json
import os
import shutil
import signal
import socket
import subprocess  # noqa: S404
import sys
import tempfile
import time
from collections.abc import Mapping, Sequence
from dataclasses import dataclass, field
from http.client import HTTPConnection, HTTPException
from itertools import count
from pathlib import Path
from typing import Any

LOOPBACK = '127.0.0.1'
READY_TIMEOUT_SECONDS = 20
STOP_TIMEOUT_SECONDS = 5
POLL_SECONDS = 0.02
CONTROL_TIMEOUT_SECONDS = 10
#: Part of a log that an error shows, in characters.
LOG_TAIL = 2000
OK = 200
#: Exit status of a process ended by a signal, without the signal's number.
SIGNAL_STATUS = 128
FIRST_PORT = 20_000
PORT_COUNT = 12_000
#: Distance between the first ports of two processes with adjacent ids.
PORTS_PER_PROCESS = 97
port_steps = count(os.getpid() * PORTS_PER_PROCESS)
#: Names the part of the ports of this process, as `NUMBER/PARTS` from 0.
PORT_PART_VARIABLE = 'TURMERICYARD_PORT_PART'
WHOLE = '0/1'


class LaunchError(Exception):
    """A process did not become ready; the text ends with its log."""


@dataclass(slots=True)
class RunningProcess:
    """One started process; `ports` are those of its ready line."""

    name: str
    popen: subprocess.Popen[bytes]
    log: Path
    ports: tuple[int, ...] = ()

    @property
    def address(self) -> str:
        """Return the `host:port` of the protocol."""
        return f'{LOOPBACK}:{self.ports[0]}'

    @property
    def control_port(self) -> int:
        """Return the port of the faults and the ledger."""
        return self.ports[1]

    def is_running(self) -> bool:
        """Return whether the process has not ended."""
        return self.popen.poll() is None

    def signal(self, number: int) -> None:
        """Send a signal to the process if it still runs."""
        if self.is_running():
            self.popen.send_signal(number)

    def kill(self) -> None:
        """End the process at once and wait for its end."""
        self.signal(signal.SIGKILL)
        self.popen.wait()

    def terminate(self) -> None:
        """Ask the process to end; does not wait."""
        self.signal(signal.SIGTERM)

    def freeze(self) -> None:
        """Stop the process until `thaw`."""
        self.signal(signal.SIGSTOP)

    def thaw(self) -> None:
        """Let a frozen process go on."""
        self.signal(signal.SIGCONT)

    def wait(self, seconds: float) -> int | None:
        """Return the exit status, or None when it still runs then."""
        try:
            return self.popen.wait(seconds)
        except subprocess.TimeoutExpired:
            return None

    def control(self, **faults: Any) -> None:
        """Apply faults through the control port."""
        post_json(self.control_port, '/control', faults)

    def ledger(self) -> Any:
        """Return the ledger of a stand-in."""
        return get_json(self.control_port, '/ledger')


@dataclass(slots=True)
class Launcher:
    """Owns processes and their logs; `close` ends every one of them.

    `replaced` has those whose name was given to a later one.
    """

    directory: Path
    processes: dict[str, RunningProcess] = field(default_factory=dict)
    replaced: list[RunningProcess] = field(default_factory=list)
    starts: int = 0

    def start(
        self,
        name: str,
        module: str,
        arguments: Sequence[str] = (),
        variables: Mapping[str, str] | None = None,
    ) -> RunningProcess:
        """Start `python -m module`; does not wait for the ready line.

        `variables` are added to the environment.
        """
        self.starts += 1
        log = self.directory / f'{name}.{self.starts}.log'
        with log.open('ab') as output:
            popen = subprocess.Popen(  # noqa: S603
                (sys.executable, '-u', '-m', module, *arguments),
                stdin=subprocess.DEVNULL,
                stdout=output,
                stderr=subprocess.STDOUT,
                cwd=self.directory,
                env={
                    **os.environ,
                    'PYTHONUNBUFFERED': '1',
                    **(variables or {}),
                },
            )
        running = RunningProcess(name, popen, log)
        earlier = self.processes.pop(name, None)
        if earlier is not None:
            self.replaced.append(earlier)
        self.processes[name] = running
        return running

    def start_ready(
        self, name: str, module: str, arguments: Sequence[str] = ()
    ) -> RunningProcess:
        """Start a process and wait for its line `ready PORT ...`."""
        running = self.start(name, module, arguments)
        self.wait_ready(running)
        return running

    def wait_ready(self, running: RunningProcess) -> None:
        """Wait for the ready line of a started process.

        Raises LaunchError when it ends or says nothing in time.
        """
        ends_at = time.monotonic() + READY_TIMEOUT_SECONDS
        while time.monotonic() < ends_at:
            ports = ready_ports(running.log)
            if ports is not None:
                running.ports = ports
                return
            if not running.is_running():
                break
            time.sleep(POLL_SECONDS)
        tail = running.log.read_text(errors='replace')[-LOG_TAIL:]
        raise LaunchError(f'{running.name}: {tail}')

    def close(self) -> None:
        """Kill every process by its id; frozen ones too."""
        for running in (*self.processes.values(), *self.replaced):
            running.kill()
        self.processes.clear()
        self.replaced.clear()

    def discard_logs(self) -> None:
        """Remove the directory of the logs; the processes have ended."""
        shutil.rmtree(self.directory, ignore_errors=True)


def create_launcher() -> Launcher:
    """Return a launcher whose processes end with this one at the latest.

    Only SIGKILL leaves them behind. Call it in the main thread.
    """
    launcher = Launcher(Path(tempfile.mkdtemp(prefix='turmericyard-')))
    atexit.register(launcher.close)
    if signal.getsignal(signal.SIGTERM) is signal.SIG_DFL:
        signal.signal(signal.SIGTERM, exit_on_signal)
    return launcher


def exit_on_signal(number: int, _frame: object) -> None:
    """End this process as the signal would, but by way of its clean-up."""
    sys.exit(SIGNAL_STATUS + number)


def ready_ports(log: Path) -> tuple[int, ...] | None:
    """Return the ports of the ready line of a log."""
    for line in log.read_text(errors='replace').splitlines():
        words = line.split()
        if words and words[0] == 'ready':
            return tuple(int(word) for word in words[1:])
    return None


def free_port() -> int:
    """Return a loopback port that is free now, a new one each time.

    It lies below the ports that the system gives to outgoing connections,
    so that none of them takes it before its process starts. Test runs that
    work side by side each take theirs from a part of their own.
    """
    number, parts = os.environ.get(PORT_PART_VARIABLE, WHOLE).split('/')
    size = PORT_COUNT // int(parts)
    first = FIRST_PORT + int(number) * size
    while True:
        port = first + next(port_steps) % size
        with socket.socket() as probe:
            probe.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
            try:
                probe.bind((LOOPBACK, port))
            except OSError:
                continue
        return port


def get_json(
    port: int, target: str, headers: Mapping[str, str] | None = None
) -> Any:
    """Return the JSON body of a GET; raises OSError on any failure."""
    return exchange(port, 'GET', target, None, headers or {})


def post_json(port: int, target: str, payload: Mapping[str, Any]) -> Any:
    """Return the JSON body of a POST; raises OSError on any failure."""
    return exchange(port, 'POST', target, json.dumps(payload), {})


def exchange(
    port: int,
    method: str,
    target: str,
    body: str | None,
    headers: Mapping[str, str],
) -> Any:
    """Carry out one JSON exchange on a new connection."""
    connection = HTTPConnection(LOOPBACK, port, timeout=CONTROL_TIMEOUT_SECONDS)
    try:
        connection.request(method, target, body, dict(headers))
        response = connection.getresponse()
        content = response.read()
    except HTTPException as error:
        raise OSError(f'{target}: {error!r}') from error
    finally:
        connection.close()
    if response.status != OK:
        raise OSError(f'{target}: status {response.status} {content!r}')
    return json.loads(content)

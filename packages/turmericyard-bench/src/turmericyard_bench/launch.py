"""Starts, monitors and stops the processes of tests, demos and soaks."""

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
#: Length of the end of a log that an error shows, in characters.
LOG_TAIL = 2000
OK = 200
#: Added to the signal's number in the exit status of a terminated process.
SIGNAL_STATUS = 128
FIRST_PORT = 20_000
PORT_COUNT = 12_000
#: Distance between the first ports of two processes with adjacent ids.
PORTS_PER_PROCESS = 97
port_offsets = count(os.getpid() * PORTS_PER_PROCESS)
#: Selects one of equal parts of the port range: `NUMBER/PARTS`, from 0.
PORT_PART_VARIABLE = 'TURMERICYARD_PORT_PART'
SINGLE_PART = '0/1'


class LaunchError(Exception):
    """A process or deployment did not become ready.

    For a process the message ends with the last part of its log.
    """


@dataclass(slots=True)
class RunningProcess:
    """One started process; `ports` are from its ready line."""

    name: str
    popen: subprocess.Popen[bytes]
    log: Path
    ports: tuple[int, ...] = ()

    @property
    def address(self) -> str:
        """Return the `host:port` at which the process serves its protocol."""
        return f'{LOOPBACK}:{self.ports[0]}'

    @property
    def control_port(self) -> int:
        """Return the port that takes faults and serves the ledger."""
        return self.ports[1]

    def is_running(self) -> bool:
        """Return whether the process is running."""
        return self.popen.poll() is None

    def signal(self, number: int) -> None:
        """Send a signal to the process if it is running."""
        if self.is_running():
            self.popen.send_signal(number)

    def kill(self) -> None:
        """Send SIGKILL and wait until the process has stopped."""
        self.signal(signal.SIGKILL)
        self.popen.wait()

    def terminate(self) -> None:
        """Send SIGTERM without waiting."""
        self.signal(signal.SIGTERM)

    def freeze(self) -> None:
        """Suspend the process with SIGSTOP until `thaw`."""
        self.signal(signal.SIGSTOP)

    def thaw(self) -> None:
        """Resume a frozen process with SIGCONT."""
        self.signal(signal.SIGCONT)

    def wait(self, seconds: float) -> int | None:
        """Return the exit status, or None when it runs after the time-out."""
        try:
            return self.popen.wait(seconds)
        except subprocess.TimeoutExpired:
            return None

    def control(self, **faults: Any) -> None:
        """Apply faults through the control port."""
        post_json(self.control_port, '/control', faults)

    def ledger(self) -> Any:
        """Fetch the ledger of a stand-in from its control port."""
        return get_json(self.control_port, '/ledger')


@dataclass(slots=True)
class Launcher:
    """Owns processes and their logs; `close` kills all of them.

    `replaced` are earlier processes whose name was reused.
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

        Raises LaunchError when the process stops, or is not ready in time.
        """
        deadline = time.monotonic() + READY_TIMEOUT_SECONDS
        while time.monotonic() < deadline:
            ports = ready_ports(running.log)
            if ports is not None:
                running.ports = ports
                return
            if not running.is_running():
                break
            time.sleep(POLL_SECONDS)
        tail = running.log.read_text(errors='replace')[-LOG_TAIL:]
        raise LaunchError(f'{running.name} did not become ready: {tail}')

    def close(self) -> None:
        """Kill every process by its id, including frozen ones."""
        for running in (*self.processes.values(), *self.replaced):
            running.kill()
        self.processes.clear()
        self.replaced.clear()

    def discard_logs(self) -> None:
        """Remove the log directory; call it after `close`."""
        shutil.rmtree(self.directory, ignore_errors=True)


def create_launcher() -> Launcher:
    """Return a launcher whose processes are killed when this one exits.

    They outlive this process only when it is stopped by SIGKILL. Call it in
    the main thread.
    """
    launcher = Launcher(Path(tempfile.mkdtemp(prefix='turmericyard-')))
    atexit.register(launcher.close)
    if signal.getsignal(signal.SIGTERM) is signal.SIG_DFL:
        signal.signal(signal.SIGTERM, exit_on_signal)
    return launcher


def exit_on_signal(number: int, _frame: object) -> None:
    """Raise SystemExit with the signal's status, so exit handlers run."""
    sys.exit(SIGNAL_STATUS + number)


def ready_ports(log: Path) -> tuple[int, ...] | None:
    """Return the ports in the ready line of a log, None without one."""
    for line in log.read_text(errors='replace').splitlines():
        words = line.split()
        if words and words[0] == 'ready':
            return tuple(int(word) for word in words[1:])
    return None


def free_port() -> int:
    """Return a loopback port that is free now, a different one each time.

    It is below the system's ephemeral ports, so no outgoing connection can
    take it before the process binds it. Parallel test runs use separate
    parts of the range, set by PORT_PART_VARIABLE.
    """
    number, parts = os.environ.get(PORT_PART_VARIABLE, SINGLE_PART).split('/')
    size = PORT_COUNT // int(parts)
    first = FIRST_PORT + int(number) * size
    while True:
        port = first + next(port_offsets) % size
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
    """Send one JSON request on a new connection; return the JSON answer."""
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

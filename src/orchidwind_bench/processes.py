"""Starts and stops the project's own programs for the bench, the demo and the tests."""

from __future__ import annotations

import os
import random
import signal
import socket
import subprocess
import sys
import time
from collections import deque
from collections.abc import Iterable, Sequence
from dataclasses import dataclass
from pathlib import Path

_STOP_SECONDS = 10.0
_POLL_SECONDS = 0.02
_LOOPBACK = "127.0.0.1"
# Below the range from which the system draws ports for outgoing connections, so that none is taken
# between the check and the start of the process that listens there.
_PORTS = range(15_000, 32_000)
# A process draws from blocks of its own, each held by listening on its first port: else two runs
# side by side find the same port free, and one of their programs cannot listen.
_BLOCK_PORTS = 500
_held_blocks: list[socket.socket] = []
_own_ports: deque[int] = deque()


def free_ports(count: int) -> list[int]:
    """Ports that are free on loopback now, for TCP and UDP, and drawn by no other run of ours.

    Raises OSError where there are not so many.
    """
    found: list[int] = []
    tried = 0
    while len(found) < count:
        if tried >= len(_own_ports):
            _own_ports.extendleft(reversed(_hold_block()))
            tried = 0
        port = _own_ports.popleft()
        _own_ports.append(port)
        tried += 1
        if port not in found and _is_free(port):
            found.append(port)
    return found


def _hold_block() -> range:
    """The ports of a block that nobody holds; raises OSError where there is none."""
    starts = list(_PORTS[::_BLOCK_PORTS])
    random.SystemRandom().shuffle(starts)
    for start in starts:
        guard = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        try:
            guard.bind((_LOOPBACK, start))
            guard.listen()
        except OSError:
            guard.close()
            continue
        _held_blocks.append(guard)
        return range(start + 1, start + _BLOCK_PORTS)
    raise OSError("every block of ports is held")


def _is_free(port: int) -> bool:
    for kind in (socket.SOCK_STREAM, socket.SOCK_DGRAM):
        with socket.socket(socket.AF_INET, kind) as probe:
            try:
                probe.bind((_LOOPBACK, port))
            except OSError:
                return False
    return True


@dataclass
class Program:
    """One running process of ours."""

    name: str
    process: subprocess.Popen[bytes]

    def kill(self) -> None:
        """SIGKILL."""
        self.process.kill()
        self.process.wait()

    def freeze(self) -> None:
        """SIGSTOP: the process holds its sockets and does nothing."""
        os.kill(self.process.pid, signal.SIGSTOP)

    def thaw(self) -> None:
        """SIGCONT."""
        os.kill(self.process.pid, signal.SIGCONT)

    def terminate(self) -> None:
        """SIGTERM: a planned stop."""
        self.process.terminate()

    def reload(self) -> None:
        """SIGHUP: the settings file has changed."""
        os.kill(self.process.pid, signal.SIGHUP)

    @property
    def running(self) -> bool:
        """Whether the process has not ended."""
        return self.process.poll() is None

    def processor_seconds(self) -> float:
        """User and system time so far; 0 once it has ended."""
        try:
            fields = Path(f"/proc/{self.process.pid}/stat").read_text().rpartition(")")[2].split()
        except OSError:
            return 0.0
        ticks = int(fields[11]) + int(fields[12])
        return ticks / os.sysconf("SC_CLK_TCK")


class Programs:
    """All processes of one run; the context ends them whatever happens."""

    def __init__(self, log_folder: Path) -> None:
        self.running: dict[str, Program] = {}
        self._log_folder = log_folder

    def __enter__(self) -> Programs:
        return self

    def __exit__(self, *exception: object) -> None:
        self.stop_all()

    def start(self, name: str, module: str, arguments: Sequence[str]) -> Program:
        """Start a module's `main` as a process; its output goes to a file of the run's folder."""
        with (self._log_folder / f"{name}.log").open("ab") as log:
            process = subprocess.Popen(
                [sys.executable, "-c", f"from {module} import main; main()", *arguments],
                stdout=log,
                stderr=log,
                stdin=subprocess.DEVNULL,
            )
        program = Program(name, process)
        self.running[name] = program
        return program

    def stop_all(self) -> None:
        """End every process by its number: first asked, then killed."""
        for program in self.running.values():
            if program.running:
                program.thaw()
                program.process.kill() if program.name.startswith("proxy") else program.terminate()
        self._wait(self.running.values())
        self.running.clear()

    def _wait(self, programs: Iterable[Program]) -> None:
        bound = time.monotonic() + _STOP_SECONDS
        for program in programs:
            try:
                program.process.wait(max(bound - time.monotonic(), _POLL_SECONDS))
            except subprocess.TimeoutExpired:
                program.kill()

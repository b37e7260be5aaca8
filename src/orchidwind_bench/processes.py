"""Starts and stops the project's programs as processes, for the bench, the demo and the tests."""

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

_STOP_TIMEOUT_SECONDS = 10.0
_POLL_SECONDS = 0.02
_LOOPBACK = "127.0.0.1"
# Below the range from which the system assigns ports to outgoing connections, so that no outgoing
# connection occupies a port between the check and the start of the process that listens on it.
_PORT_RANGE = range(15_000, 32_000)
# Each test or bench process reserves whole blocks of ports by listening on the first port of each.
# Without this, two concurrent runs find the same port free, and a program of one cannot listen.
_PORTS_PER_BLOCK = 500
_block_guards: list[socket.socket] = []
_reserved_ports: deque[int] = deque()


def free_ports(count: int) -> list[int]:
    """Return distinct loopback ports that are free for TCP and UDP and reserved by this process.

    Raises OSError if more ports are needed and no block is left to reserve.
    """
    found: list[int] = []
    tried = 0
    while len(found) < count:
        if tried >= len(_reserved_ports):
            _reserved_ports.extendleft(reversed(_reserve_block()))
            tried = 0
        port = _reserved_ports.popleft()
        _reserved_ports.append(port)
        tried += 1
        if port not in found and _is_free(port):
            found.append(port)
    return found


def _reserve_block() -> range:
    """Reserve a free block and return its ports without the first, which guards the block.

    Raises OSError if every block is reserved.
    """
    starts = list(_PORT_RANGE[::_PORTS_PER_BLOCK])
    random.SystemRandom().shuffle(starts)
    for start in starts:
        guard = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        try:
            guard.bind((_LOOPBACK, start))
            guard.listen()
        except OSError:
            guard.close()
            continue
        _block_guards.append(guard)
        return range(start + 1, start + _PORTS_PER_BLOCK)
    raise OSError("every block of ports is reserved")


def _is_free(port: int) -> bool:
    """Return whether the port can be bound on loopback for both TCP and UDP."""
    for kind in (socket.SOCK_STREAM, socket.SOCK_DGRAM):
        with socket.socket(socket.AF_INET, kind) as probe:
            try:
                probe.bind((_LOOPBACK, port))
            except OSError:
                return False
    return True


@dataclass
class Program:
    """A process that runs one of the project's programs."""

    name: str
    process: subprocess.Popen[bytes]

    def kill(self) -> None:
        """Send SIGKILL and wait until the process has ended."""
        self.process.kill()
        self.process.wait()

    def freeze(self) -> None:
        """Send SIGSTOP: the process keeps its sockets open and executes nothing."""
        os.kill(self.process.pid, signal.SIGSTOP)

    def thaw(self) -> None:
        """Send SIGCONT: a frozen process continues."""
        os.kill(self.process.pid, signal.SIGCONT)

    def terminate(self) -> None:
        """Send SIGTERM, which asks for an orderly shutdown; does not wait for it."""
        self.process.terminate()

    def reload(self) -> None:
        """Send SIGHUP, which tells the process that its settings file has changed."""
        os.kill(self.process.pid, signal.SIGHUP)

    @property
    def running(self) -> bool:
        """Whether the process is still running."""
        return self.process.poll() is None

    def processor_seconds(self) -> float:
        """Return the user and system CPU time used so far; 0 if `/proc` has no entry for it."""
        try:
            fields = Path(f"/proc/{self.process.pid}/stat").read_text().rpartition(")")[2].split()
        except OSError:
            return 0.0
        ticks = int(fields[11]) + int(fields[12])
        return ticks / os.sysconf("SC_CLK_TCK")


class Programs:
    """The processes of one run, by name. Leaving the context ends all of them, also on errors."""

    def __init__(self, log_folder: Path) -> None:
        self.running: dict[str, Program] = {}
        self._log_folder = log_folder

    def __enter__(self) -> Programs:
        return self

    def __exit__(self, *exception: object) -> None:
        self.stop_all()

    def start(self, name: str, module: str, arguments: Sequence[str]) -> Program:
        """Run `main` of a module in a new process and return it.

        Its output is appended to `NAME.log` in the log folder.
        """
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
        """End every process and wait for it.

        Proxies are killed at once. Other processes are terminated, and killed if they do not end
        in time.
        """
        for program in self.running.values():
            if program.running:
                program.thaw()
                program.process.kill() if program.name.startswith("proxy") else program.terminate()
        self._wait(self.running.values())
        self.running.clear()

    def _wait(self, programs: Iterable[Program]) -> None:
        """Wait for all processes with one common deadline; kill those that exceed it."""
        deadline = time.monotonic() + _STOP_TIMEOUT_SECONDS
        for program in programs:
            try:
                program.process.wait(max(deadline - time.monotonic(), _POLL_SECONDS))
            except subprocess.TimeoutExpired:
                program.kill()

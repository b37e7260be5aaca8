"""Structured logs: one line of key=value pairs for each event, on standard output.

For: every module of both halves (`log_event`) and each program's start (`configure_logging`). Owns
the lines that wait to be written. Writing never waits for a reader: what does not fit into the pipe
is kept up to a bound, then dropped and counted. `orchidwind explain` reads what is written here.
"""

from __future__ import annotations

import logging
import os
import sys
from collections import deque
from typing import Any

from pythonjsonlogger.core import BaseJsonFormatter

_QUOTED_SIGNS = set(' "=\n\r\t')
# Lines that wait for their reader at most. Some seconds of a busy proxy, below 1 MB.
_MOST_WAITING_LINES = 2000


class KeyValueFormatter(BaseJsonFormatter):
    """python-json-logger's field handling, with key=value pairs as the serialization."""

    def jsonify_log_record(self, log_data: dict[str, Any]) -> str:
        """Write one line."""
        return " ".join(f"{key}={_quote(value)}" for key, value in log_data.items())


def _quote(value: object) -> str:
    text = str(value)
    if text and not _QUOTED_SIGNS.intersection(text):
        return text
    escaped = text.replace("\\", "\\\\").replace('"', '\\"')
    return '"' + escaped.replace("\n", "\\n").replace("\r", "\\r").replace("\t", "\\t") + '"'


class NonBlockingHandler(logging.Handler):
    """Writes lines to a file descriptor without ever waiting for its reader."""

    def __init__(self, descriptor: int, kept_lines: int = _MOST_WAITING_LINES) -> None:
        super().__init__()
        os.set_blocking(descriptor, False)
        self._descriptor = descriptor
        self._lines: deque[bytes] = deque()
        self._kept_lines = kept_lines
        self.dropped = 0
        self._dropped_since_line = 0

    def emit(self, record: logging.LogRecord) -> None:
        """Write a line, after those that still wait."""
        if len(self._lines) >= self._kept_lines:
            self.dropped += 1
            self._dropped_since_line += 1
        else:
            self._lines.append(self.format(record).encode() + b"\n")
        self._write_lines()

    def _write_lines(self) -> None:
        while self._lines:
            line = self._lines[0]
            try:
                written = os.write(self._descriptor, line)
            except BlockingIOError:
                # The pipe is full: the rest is written with the next line.
                return
            except OSError:
                # Nobody reads any more, so there is nowhere to tell of it.
                self._lines.clear()
                return
            if written < len(line):
                self._lines[0] = line[written:]
                return
            self._lines.popleft()
        if self._dropped_since_line:
            count, self._dropped_since_line = self._dropped_since_line, 0
            self._lines.append(f"level=WARNING event=log_lines_dropped count={count}\n".encode())


def configure_logging(level: str, proxy: str, descriptor: int | None = None) -> None:
    """Send all events to standard output, or to a descriptor, as lines of a named proxy."""
    handler = NonBlockingHandler(sys.stdout.fileno() if descriptor is None else descriptor)
    formatter = KeyValueFormatter(
        ["levelname", "message"],
        rename_fields={"levelname": "level", "message": "event"},
        static_fields={"node": proxy},
        timestamp="at",
    )
    handler.setFormatter(formatter)
    root = logging.getLogger()
    root.handlers = [handler]
    root.setLevel(level)


def log_event(name: str, *, level: int = logging.INFO, **fields: object) -> None:
    """Log an event with its fields."""
    logging.getLogger("orchidwind").log(level, name, extra=fields)


def is_power_of_two(count: int) -> bool:
    """Which of many like events are logged: the 1st, 2nd, 4th, ... so that none fills the log."""
    return count & (count - 1) == 0

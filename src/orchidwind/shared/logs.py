"""Structured logs: one line of key=value pairs for each event, on standard output.

Writing never waits for a reader: what does not fit into the pipe is kept up to a bound, then
dropped and counted.
"""

from __future__ import annotations

import logging
import os
import sys
from collections import deque
from typing import Any

from pythonjsonlogger.core import BaseJsonFormatter

_QUOTED_SIGNS = set(' "=\n\r\t')
_KEPT_LINES = 2000


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

    def __init__(self, descriptor: int, kept_lines: int = _KEPT_LINES) -> None:
        super().__init__()
        os.set_blocking(descriptor, False)
        self._descriptor = descriptor
        self._lines: deque[bytes] = deque()
        self._kept_lines = kept_lines
        self.dropped = 0
        self._untold = 0

    def emit(self, record: logging.LogRecord) -> None:
        """Write a line, after those that still wait."""
        if len(self._lines) >= self._kept_lines:
            self.dropped += 1
            self._untold += 1
        else:
            self._lines.append(self.format(record).encode() + b"\n")
        self._write_lines()

    def _write_lines(self) -> None:
        while self._lines:
            line = self._lines[0]
            try:
                written = os.write(self._descriptor, line)
            except BlockingIOError:
                return
            except OSError:
                self._lines.clear()
                return
            if written < len(line):
                self._lines[0] = line[written:]
                return
            self._lines.popleft()
        if self._untold:
            count, self._untold = self._untold, 0
            self._lines.append(f"level=WARNING event=log_lines_dropped count={count}\n".encode())


def configure_logging(level: str, node: str, descriptor: int | None = None) -> None:
    """Send the project's events to standard output, or to a descriptor."""
    handler = NonBlockingHandler(sys.stdout.fileno() if descriptor is None else descriptor)
    formatter = KeyValueFormatter(
        ["levelname", "message"],
        rename_fields={"levelname": "level", "message": "event"},
        static_fields={"node": node},
        timestamp="at",
    )
    handler.setFormatter(formatter)
    root = logging.getLogger()
    root.handlers = [handler]
    root.setLevel(level)


def log_event(name: str, *, level: int = logging.INFO, **fields: object) -> None:
    """Log an event with its fields."""
    logging.getLogger("orchidwind").log(level, name, extra=fields)

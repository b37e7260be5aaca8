"""Structured logs: one line of key=value pairs for each event, on standard output.

All modules log with `log_event`; each program calls `configure_logging` when it starts. Writing
never blocks on a slow reader: lines that do not fit into the pipe are buffered up to a limit, and
further lines are dropped and counted. `orchidwind explain` parses these lines.
"""

from __future__ import annotations

import logging
import os
import re
import sys
from collections import deque
from typing import Any

from pythonjsonlogger.core import BaseJsonFormatter

_QUOTED_CHARACTERS = set(' "=\n\r\t')
_ESCAPED = re.compile(r"\\(.)", re.DOTALL)
_ESCAPES = {"n": "\n", "r": "\r", "t": "\t"}
# Maximum number of buffered lines: some seconds of a busy proxy's output, less than 1 MB.
_MAX_BUFFERED_LINES = 2000


class KeyValueFormatter(BaseJsonFormatter):
    """Formats log records as key=value pairs, with the field handling of python-json-logger."""

    def jsonify_log_record(self, log_data: dict[str, Any]) -> str:
        """Return the fields as one line of key=value pairs."""
        return " ".join(f"{key}={_quote(value)}" for key, value in log_data.items())


def _quote(value: object) -> str:
    text = str(value)
    if text and not _QUOTED_CHARACTERS.intersection(text):
        return text
    escaped = text.replace("\\", "\\\\").replace('"', '\\"')
    return '"' + escaped.replace("\n", "\\n").replace("\r", "\\r").replace("\t", "\\t") + '"'


def unquoted(text: str) -> str:
    """Return the value of a field as it was before it was written to a line."""
    if not text.startswith('"'):
        return text
    return _ESCAPED.sub(lambda found: _ESCAPES.get(found[1], found[1]), text[1:-1])


class NonBlockingHandler(logging.Handler):
    """Writes lines to a file descriptor without ever blocking on its reader."""

    def __init__(self, descriptor: int, max_buffered_lines: int = _MAX_BUFFERED_LINES) -> None:
        super().__init__()
        os.set_blocking(descriptor, False)
        self._descriptor = descriptor
        self._lines: deque[bytes] = deque()
        self._max_buffered_lines = max_buffered_lines
        self.dropped = 0
        self._unreported_drops = 0

    def emit(self, record: logging.LogRecord) -> None:
        """Write a record after the buffered lines, or drop it if the buffer is full."""
        if len(self._lines) >= self._max_buffered_lines:
            self.dropped += 1
            self._unreported_drops += 1
        else:
            self._lines.append(self.format(record).encode() + b"\n")
        self._write_lines()

    def _write_lines(self) -> None:
        while self._lines:
            line = self._lines[0]
            try:
                written = os.write(self._descriptor, line)
            except BlockingIOError:
                # The pipe is full: the rest is written with the next record.
                return
            except OSError:
                # The reader has closed the pipe, so the error cannot be reported anywhere.
                self._lines.clear()
                return
            if written < len(line):
                self._lines[0] = line[written:]
                return
            self._lines.popleft()
        if self._unreported_drops:
            count, self._unreported_drops = self._unreported_drops, 0
            self._lines.append(f"level=WARNING event=log_lines_dropped count={count}\n".encode())


def configure_logging(level: str, proxy: str, descriptor: int | None = None) -> None:
    """Send all events to standard output, or to `descriptor`, marked with the proxy's name."""
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
    """Log an event with its fields as key=value pairs."""
    logging.getLogger("orchidwind").log(level, name, extra=fields)


def is_power_of_two(count: int) -> bool:
    """Return whether to log the count-th of many similar events: the 1st, 2nd, 4th and so on.

    This keeps repeated events from flooding the log.
    """
    return count & (count - 1) == 0

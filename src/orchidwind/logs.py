"""Structured logs: one line of key=value pairs for each event, on standard output."""

from __future__ import annotations

import logging
import sys
from typing import Any

from pythonjsonlogger.core import BaseJsonFormatter

_QUOTED_SIGNS = set(' "=\n\r\t')


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


def configure_logging(level: str, node: str) -> None:
    """Send the project's events to standard output."""
    handler = logging.StreamHandler(sys.stdout)
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

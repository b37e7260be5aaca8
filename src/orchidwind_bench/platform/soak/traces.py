"""Merges the proxies' log lines, the instances' notes and the soak's events by time."""

from __future__ import annotations

import re
import time
from datetime import datetime
from pathlib import Path

from orchidwind_bench.platform.soak.promises import GroupHistory, started_at

EVENTS = frozenset(
    (
        "failover_started",
        "failover_step",
        "failover_put_off",
        "promotion_sent",
        "promotion_lock",
        "promotion_lock_unavailable",
        "promotion_lock_not_released",
        "failover_ended",
        "started",
        "stopped",
    )
)
_FIELD = re.compile(r'(\w+)=("(?:[^"\\]|\\.)*"|\S+)')


def trace(
    folder: Path,
    history: GroupHistory,
    events: list[tuple[float, str]],
    begin: float,
    end: float,
) -> list[str]:
    """All trace lines of a span of the monotonic clock, ordered by time."""
    offset = time.time() - time.monotonic()
    found = [(at, f"soak: {text}") for at, text in events]
    for name, lines in history.journals.items():
        own_since = started_at(name, lines)
        found += [
            (line.at, f"{name}: {line.note}")
            for line in lines
            if line.note and line.at >= own_since
        ]
    for path in sorted(folder.glob("proxy-*.log")):
        found += _proxy_lines(path, offset)
    return [f"{at:.3f} {text}" for at, text in sorted(set(found)) if begin <= at <= end]


def _proxy_lines(path: Path, offset: float) -> list[tuple[float, str]]:
    found = []
    for line in path.read_text(errors="replace").splitlines():
        fields = dict(_FIELD.findall(line))
        if fields.get("event") in EVENTS and "at" in fields:
            at = datetime.fromisoformat(fields["at"].strip('"')).timestamp() - offset
            details = " ".join(
                f"{key}={value}"
                for key, value in fields.items()
                if key not in ("at", "level", "node", "event")
            )
            found.append((at, f"{path.stem}: {fields['event']} {details}"))
    return found

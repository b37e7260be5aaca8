"""A trace around a moment: what proxies logged, instances noted and the soak did, by time."""

from __future__ import annotations

import re
import time
from datetime import datetime
from pathlib import Path

from orchidwind_bench.platform.soak.promises import GroupHistory, began

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
    happened: list[tuple[float, str]],
    begin: float,
    end: float,
) -> list[str]:
    """All lines of a span of the steady clock, in order."""
    offset = time.time() - time.monotonic()
    found = [(at, f"soak: {text}") for at, text in happened]
    for name, lines in history.journals.items():
        own_since = began(name, lines)
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
            told = " ".join(
                f"{key}={value}"
                for key, value in fields.items()
                if key not in ("at", "level", "node", "event")
            )
            found.append((at, f"{path.stem}: {fields['event']} {told}"))
    return found

"""Follows one request through the logs of the proxies, from its id to what decided it.

For: `orchidwind explain`. Owns which events bear on a request, and from when on. Relies on the
names of events and fields, which docs/OPERATIONS.md lists. A line of another form is passed over:
a log may hold what other programs wrote.
"""

from __future__ import annotations

import re
from collections.abc import Iterable
from dataclasses import dataclass
from datetime import datetime, timedelta
from pathlib import Path

from orchidwind.shared.core.errors import OrchidwindError

_FIELD = re.compile(r'(\w+)=("(?:[^"\\]|\\.)*"|\S+)')
# What a proxy came to believe so long before a request arrived is shown. A change of
# primary takes about a second, and the views' bounds are 3 s.
_BEFORE = timedelta(seconds=3)
# A caller learns that the connection of its resting transaction fell silent when it comes back: as
# late as a transaction may rest, 30 s by default.
_LONGEST_REST = timedelta(seconds=30)
_FOUND_AT_REST = "instance_resting"
# A change of primary takes about a second; its lines come from the proxy that made it.
_CHANGE = timedelta(seconds=3)
_CHANGES = frozenset(
    (
        "failover_choice",
        "failover_ended",
        "failover_started",
        "failover_step",
        "promotion_lock",
        "promotion_not_recorded",
        "promotion_sent",
    )
)
_BELIEFS = frozenset(
    (
        "configuration_in_force",
        "connection_silent",
        "drain_started",
        "failover_ended",
        "failover_started",
        "failover_step",
        "home_connected",
        "home_lost",
        "instance_gone",
        "instance_listed",
        "instance_unreachable",
        "peer_link_replaced",
        "primary_changed",
        "promotion_sent",
        "quota_exceeded",
        "quota_shares",
        "silence_not_confirmed",
        "started",
        "view_current_again",
        "view_reported",
        "view_too_old",
        "watch_connected",
        "watch_given_up",
        "watch_lost",
    )
)


class RequestNotFound(OrchidwindError):
    """No line of the logs names the request."""


@dataclass(frozen=True, slots=True)
class LogLine:
    """One line of a log."""

    text: str
    event: str
    node: str
    at: datetime
    fields: dict[str, str]


def parse_line(text: str) -> LogLine | None:
    """Read a line; None where it is not one of ours."""
    fields = {name: value.strip('"') for name, value in _FIELD.findall(text)}
    if "event" not in fields or "at" not in fields:
        return None
    try:
        at = datetime.fromisoformat(fields["at"])
    except ValueError:
        # A log may hold what other programs wrote.
        return None
    return LogLine(text.strip(), fields["event"], fields.get("node", ""), at, fields)


def read_logs(paths: Iterable[Path]) -> list[LogLine]:
    """All lines of all files, by time."""
    found: list[LogLine] = []
    for path in paths:
        with path.open(encoding="utf-8", errors="replace") as log:
            found.extend(line for line in map(parse_line, log) if line is not None)
    return sorted(found, key=lambda line: line.at)


def _nodes(request: LogLine) -> set[str]:
    """The request's own proxy, and the homes that its attempts name."""
    homes = re.findall(r"(\S+?):home(?:_lost)?:", request.fields.get("attempts", ""))
    return {request.node, *homes}


def _since(other: LogLine, request: LogLine) -> datetime:
    """From when on a line counts."""
    milliseconds = int(request.fields.get("milliseconds", "0"))
    at_rest = other.fields.get("connection") == _FOUND_AT_REST
    before = _LONGEST_REST if at_rest else _BEFORE
    return request.at - timedelta(milliseconds=milliseconds) - before


def _bears_on(other: LogLine, request: LogLine) -> bool:
    """Whether a line shows what the request's proxy, or its home, believed of itself or its group.

    Of a home only what it found silent: the rest is in the home's own log.
    """
    if other.event not in _BELIEFS or other.node not in _nodes(request):
        return False
    if other.node != request.node and other.event != "connection_silent":
        return False
    group = request.fields.get("group", "")
    return group == "" or other.fields.get("group", "") in ("", group)


def story(lines: list[LogLine], request_id: str) -> list[str]:
    """What the request's own lines say, after what its proxy had come to believe before.

    Raises RequestNotFound.
    """
    own = [line for line in lines if line.fields.get("request_id") == request_id]
    change = _change_after(lines, request_id)
    if not own and change:
        return change
    if not own:
        raise RequestNotFound(f"no line names the request {request_id}")
    shown: list[str] = []
    for line in own:
        shown.extend(
            f"  before: {other.text}"
            for other in lines
            if _bears_on(other, line) and _since(other, line) <= other.at <= line.at
        )
        shown.append(f"request: {line.text}")
    return shown + change


def _change_after(lines: list[LogLine], request_id: str) -> list[str]:
    """The change of primary that followed a commit, as all proxies logged it."""
    acknowledged = [
        line
        for line in lines
        if line.event == "commits_acknowledged"
        and f"{request_id}@" in line.fields.get("commits", "")
    ]
    story: list[str] = []
    for line in acknowledged:
        story.append(f"acknowledged before a change of primary: {line.text}")
        story.extend(
            f"  change: {other.text}"
            for other in lines
            if other.event in _CHANGES
            and other.fields.get("group", "") in ("", line.fields.get("group", ""))
            and abs(other.at - line.at) <= _CHANGE
        )
    return story

"""Finds the log lines of all proxies that explain the outcome of one request.

Used by `orchidwind explain`. Owns the selection of the events that can affect a request, and how
far back they are searched. Depends on the names of events and fields, which docs/OPERATIONS.md
lists. Lines of another format are skipped, since a log may contain the output of other programs.
"""

from __future__ import annotations

import re
from collections.abc import Iterable
from dataclasses import dataclass
from datetime import datetime, timedelta
from pathlib import Path

from orchidwind.shared.core.errors import OrchidwindError
from orchidwind.shared.logs import unquoted

_FIELD = re.compile(r'(\w+)=("(?:[^"\\]|\\.)*"|\S+)')
# How long before the arrival of a request events are shown. A change of primary takes about a
# second, and the bounds of the views are 3 s.
_LOOK_BACK = timedelta(seconds=3)
# The same for the silent connection of an idle transaction: the caller learns of it with its next
# statement, which may be as late as a transaction may stay idle, 30 s by default.
_IDLE_TRANSACTION_LOOK_BACK = timedelta(seconds=30)
_IDLE_TRANSACTION_KIND = "instance_resting"
# How far from an acknowledged commit the events of a change of primary are shown. A change takes
# about a second; its events are logged by the proxy that carries it out.
_FAILOVER_WINDOW = timedelta(seconds=3)
_FAILOVER_EVENTS = frozenset(
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
_CONTEXT_EVENTS = frozenset(
    (
        "command_rerouted",
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
        "quota_share_confirmed",
        "quota_share_not_confirmed",
        "quota_shares",
        "quota_shares_not_written",
        "quota_unavailable",
        "quota_waited",
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
    """No line of the logs contains the request id."""


@dataclass(frozen=True, slots=True)
class LogLine:
    """One parsed line of a log."""

    text: str
    event: str
    node: str
    at: datetime
    fields: dict[str, str]


def parse_line(text: str) -> LogLine | None:
    """Parse a line; return None if it is not a line of a proxy's log."""
    fields = {name: unquoted(value) for name, value in _FIELD.findall(text)}
    if "event" not in fields or "at" not in fields:
        return None
    try:
        at = datetime.fromisoformat(fields["at"])
    except ValueError:
        # A log may contain the output of other programs.
        return None
    return LogLine(text.strip(), fields["event"], fields.get("node", ""), at, fields)


def read_logs(paths: Iterable[Path]) -> list[LogLine]:
    """Return the parsed lines of all files, ordered by time."""
    found: list[LogLine] = []
    for path in paths:
        with path.open(encoding="utf-8", errors="replace") as log:
            found.extend(line for line in map(parse_line, log) if line is not None)
    return sorted(found, key=lambda line: line.at)


def _nodes(request: LogLine) -> set[str]:
    """Return the proxy that logged the request and the home proxies that its attempts name."""
    homes = re.findall(r"(\S+?):(?:home(?:_lost)?|rerouted):", request.fields.get("attempts", ""))
    return {request.node, *homes}


def _relevant_since(other: LogLine, request: LogLine) -> datetime:
    """Return the time from which on a line can explain the request."""
    milliseconds = int(request.fields.get("milliseconds", "0"))
    idle_transaction = other.fields.get("connection") == _IDLE_TRANSACTION_KIND
    look_back = _IDLE_TRANSACTION_LOOK_BACK if idle_transaction else _LOOK_BACK
    return request.at - timedelta(milliseconds=milliseconds) - look_back


def _is_relevant(other: LogLine, request: LogLine) -> bool:
    """Return whether a line describes what the request's proxy or home proxy knew at that time.

    Lines about other groups than the request's do not count. Of a home proxy, only silent
    connections count; its other lines are in its own log.
    """
    if other.event not in _CONTEXT_EVENTS or other.node not in _nodes(request):
        return False
    if other.node != request.node and other.event != "connection_silent":
        return False
    group = request.fields.get("group", "")
    return group == "" or other.fields.get("group", "") in ("", group)


def explain_request(lines: list[LogLine], request_id: str) -> list[str]:
    """Return the lines of a request, each after the lines that explain it.

    The lines of a change of primary that followed the request's commit come last. Raises
    RequestNotFound if no line contains the request id.
    """
    own = [line for line in lines if line.fields.get("request_id") == request_id]
    failover = _failover_after(lines, request_id)
    if not own and failover:
        return failover
    if not own:
        raise RequestNotFound(f"no log line contains the request id {request_id}")
    shown: list[str] = []
    for line in own:
        shown.extend(
            f"  before: {other.text}"
            for other in lines
            if _is_relevant(other, line) and _relevant_since(other, line) <= other.at <= line.at
        )
        shown.append(f"request: {line.text}")
    return shown + failover


def _failover_after(lines: list[LogLine], request_id: str) -> list[str]:
    """Return the lines of all proxies about a change of primary that followed a commit."""
    acknowledged = [
        line
        for line in lines
        if line.event == "commits_acknowledged"
        and f"{request_id}@" in line.fields.get("commits", "")
    ]
    shown: list[str] = []
    for line in acknowledged:
        shown.append(f"acknowledged before a change of primary: {line.text}")
        shown.extend(
            f"  change: {other.text}"
            for other in lines
            if other.event in _FAILOVER_EVENTS
            and other.fields.get("group", "") in ("", line.fields.get("group", ""))
            and abs(other.at - line.at) <= _FAILOVER_WINDOW
        )
    return shown

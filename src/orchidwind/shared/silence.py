"""Reports of silent connections: open connections that accept bytes and deliver none.

Owns: the kinds of connections under which reports are counted, and the log line, both of which
operators rely on. The components that hold connections detect the silent ones.
"""

from __future__ import annotations

from collections.abc import Callable
from enum import Enum

from msgspec import Struct

from orchidwind.shared.logs import log_event


class ConnectionKind(Enum):
    """The purpose of a connection; silent connections are counted by kind."""

    PEER_LINK = "peer_link"
    INSTANCE_IDLE = "instance_idle"
    INSTANCE_RUNNING = "instance_running"
    INSTANCE_RESTING = "instance_resting"
    INSTANCE_STATUS = "instance_status"
    STORE = "store"
    PROMOTION = "promotion"


class SilentConnection(Struct, frozen=True):
    """A connection that delivers nothing while another path to the same end works, or should.

    `opened_for` and `silent_for` are in seconds, None if unknown. `owed` is the number of pending
    answers on the connection, without those to the proxy's own queries. `group` is empty if the
    connection belongs to no group.
    """

    kind: ConnectionKind
    to: str
    opened_for: float | None
    silent_for: float | None
    owed: int
    decision: str
    group: str = ""


OnSilent = Callable[[SilentConnection], None]


def log_silent_connection(found: SilentConnection) -> None:
    """Log a silent connection."""
    log_event(
        "connection_silent",
        connection=found.kind.value,
        to=found.to,
        opened_for=_rounded(found.opened_for),
        silent_for=_rounded(found.silent_for),
        owed=found.owed,
        decision=found.decision,
        group=found.group,
    )


def _rounded(seconds: float | None) -> float | str:
    return "unknown" if seconds is None else round(seconds, 3)

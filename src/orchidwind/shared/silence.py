"""Open connections that were found silent: one line and one count for each find.

Owns: the kinds of connections as they are counted and the line in the log, which operators rely on.
Relies on each owner of connections to find its silent ones.
"""

from __future__ import annotations

from collections.abc import Callable
from enum import Enum

from msgspec import Struct

from orchidwind.shared.logs import log_event


class ConnectionKind(Enum):
    """What a connection is for, as its finds are counted."""

    PEER_LINK = "peer_link"
    INSTANCE_IDLE = "instance_idle"
    INSTANCE_RUNNING = "instance_running"
    INSTANCE_RESTING = "instance_resting"
    INSTANCE_STATUS = "instance_status"
    STORE = "store"
    PROMOTION = "promotion"


class SilentConnection(Struct, frozen=True):
    """A connection that delivers nothing while another way to the same end works, or should.

    `opened_for` and `silent_for` are in seconds, None where they are unknown; `owed` counts the
    answers that were waited for on it, the proxy's own queries left out. `group` is empty where the
    connection belongs to none.
    """

    kind: ConnectionKind
    to: str
    opened_for: float | None
    silent_for: float | None
    owed: int
    decision: str
    group: str = ""


OnSilent = Callable[[SilentConnection], None]


def log_silent(found: SilentConnection) -> None:
    """One line for a find."""
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

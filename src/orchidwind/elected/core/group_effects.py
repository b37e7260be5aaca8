"""The options of a group at its home proxy, and the effects that its driver carries out.

For: `home_group.py`, which returns the effects, and `network/group_runner.py`, which carries them
out. Owns: only the types.
"""

from __future__ import annotations

from dataclasses import dataclass, field

from orchidwind.elected.core.commit_barrier import Acknowledge
from orchidwind.elected.core.polling import PollingSettings
from orchidwind.elected.core.routing import RoutingSettings
from orchidwind.elected.core.statements import Outcome, Statement, StatementRequest
from orchidwind.shared.core.pool import CloseConnection, OpenConnection

# A transaction idle for this long is rolled back, since it holds a server connection.
TRANSACTION_IDLE_SECONDS = 60.0


@dataclass(frozen=True, slots=True)
class GroupOptions:
    """How a home proxy serves a group."""

    acknowledge: Acknowledge = Acknowledge.REPLICATED
    routing: RoutingSettings = field(default_factory=RoutingSettings)
    polling: PollingSettings = field(default_factory=PollingSettings)
    transaction_idle_seconds: float = TRANSACTION_IDLE_SECONDS


@dataclass(frozen=True, slots=True)
class PollInstance:
    """Send a status query; the driver answers with `report` or `poll_failed`."""

    instance: str
    asked_at: float


@dataclass(frozen=True, slots=True)
class ResetObserver:
    """Close the status connection to an instance that did not answer in time."""

    instance: str


@dataclass(frozen=True, slots=True)
class RunOnConnection:
    """Run a statement; `deliver_to` is the request whose caller gets the rows, None for none."""

    connection: int
    statement: Statement
    deliver_to: int | None
    describe: bool


@dataclass(frozen=True, slots=True)
class AbandonConnection:
    """Drop a connection to an unresponsive instance; `connection_lost` follows."""

    connection: int


@dataclass(frozen=True, slots=True)
class CancelConnection:
    """Ask the database to cancel the statement that runs on a connection."""

    connection: int


@dataclass(frozen=True, slots=True)
class StillRunning:
    """A statement runs past its deadline on a responsive instance: the caller may keep waiting.

    The driver may check with the database that the statement still runs; if not, it reports
    `connection_lost`.
    """

    number: int
    connection: int


@dataclass(frozen=True, slots=True)
class Finished:
    """A request has ended with this outcome."""

    request: StatementRequest
    outcome: Outcome


GroupEffect = (
    OpenConnection
    | CloseConnection
    | PollInstance
    | ResetObserver
    | RunOnConnection
    | AbandonConnection
    | CancelConnection
    | StillRunning
    | Finished
)

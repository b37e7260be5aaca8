"""The options of a home's group, and the effects that its driver carries out.

For: `home_group.py`, which returns them, and `network/group_runner.py`, which carries them out.
Owns: the types alone.
"""

from __future__ import annotations

from dataclasses import dataclass, field

from orchidwind.elected.core.commit_barrier import Acknowledge
from orchidwind.elected.core.polling import PollingSettings
from orchidwind.elected.core.routing import RoutingSettings
from orchidwind.elected.core.statements import Outcome, Statement, StatementRequest
from orchidwind.shared.core.pool import CloseConnection, OpenConnection

# A transaction without a statement for this time is rolled back, as it holds a connection.
TRANSACTION_IDLE_SECONDS = 60.0


@dataclass(frozen=True, slots=True)
class GroupOptions:
    """How a home serves a group."""

    acknowledge: Acknowledge = Acknowledge.REPLICATED
    routing: RoutingSettings = field(default_factory=RoutingSettings)
    polling: PollingSettings = field(default_factory=PollingSettings)
    transaction_idle_seconds: float = TRANSACTION_IDLE_SECONDS


@dataclass(frozen=True, slots=True)
class PollInstance:
    """Send a status query; answer with `report` or `poll_failed`."""

    instance: str
    asked_at: float


@dataclass(frozen=True, slots=True)
class ResetObserver:
    """The status connection to an instance hangs: close it."""

    instance: str


@dataclass(frozen=True, slots=True)
class RunOnConnection:
    """Run a statement; `deliver_to` names the request whose caller gets the rows, if any."""

    connection: int
    statement: Statement
    deliver_to: int | None
    describe: bool


@dataclass(frozen=True, slots=True)
class AbandonConnection:
    """Break a connection whose instance does not answer; `connection_lost` follows."""

    connection: int


@dataclass(frozen=True, slots=True)
class CancelConnection:
    """Ask the database to cancel what runs on a connection."""

    connection: int


@dataclass(frozen=True, slots=True)
class StillRunning:
    """A statement runs past its deadline on an instance that answers: the caller may wait on.

    The driver may ask the database whether it runs; `connection_lost` where it does not.
    """

    number: int
    connection: int


@dataclass(frozen=True, slots=True)
class Finished:
    """A request has its outcome."""

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

"""The interfaces that the home's side of a link needs: its proxy and the connection to the front.

For: `peer_service`, `served_link`, `remote_session`. The code that creates a proxy supplies them.
"""

from __future__ import annotations

from collections.abc import Awaitable, Callable

from msgspec import Struct

from orchidwind.promoted.callers.session_registry import SessionRegistry
from orchidwind.promoted.core.peer_messages import (
    InstanceDemand,
    InstanceLoan,
    LockReport,
    PeerMessage,
    ViewQuery,
    ViewReport,
)
from orchidwind.promoted.group.group_service import GroupService
from orchidwind.promoted.quotas.quota_service import NoQuotas, Quotas

SendMessage = Callable[[PeerMessage], None]
GroupLookup = Callable[[str], GroupService | None]
ReadLock = Callable[[int], Awaitable[LockReport]]
LendTokens = Callable[[str, float], float]
LendRoom = Callable[[str, tuple[InstanceDemand, ...]], tuple[InstanceLoan, ...]]
ReportView = Callable[[ViewQuery], ViewReport]


def _no_tokens(tenant: str, wanted: float) -> float:
    return 0.0


def _no_loans(proxy: str, demands: tuple[InstanceDemand, ...]) -> tuple[InstanceLoan, ...]:
    return ()


def _unknown_target_latency(database: str) -> float | None:
    return None


class HomePorts(Struct, frozen=True):
    """The functions of a proxy that its service for other proxies calls.

    `groups` looks a group up by name; None if this proxy does not know it.
    `read_lock` takes the number of a query and returns the promotion lock as read from the store.
    `transaction_idle` returns for how many seconds a transaction may be idle.
    `report_view` answers a query for a view.
    `target_latency` returns the seconds after which an answer of a database counts as late, None
    where that is unknown.
    `quotas` admits the operations of tenants.
    `lend_tokens` lends tokens of a tenant's quota to another proxy and returns how many.
    `lend_room` takes the demands of another proxy and returns what is lent to it.
    """

    groups: GroupLookup
    registry: SessionRegistry
    read_lock: ReadLock
    transaction_idle: Callable[[], float]
    report_view: ReportView
    target_latency: Callable[[str], float | None] = _unknown_target_latency
    quotas: Quotas = NoQuotas()
    lend_tokens: LendTokens = _no_tokens
    lend_room: LendRoom = _no_loans


class LinkWriter(Struct, frozen=True):
    """The sending side of a link's connection.

    `send` queues a message without waiting. `drained` waits until the queued messages have been
    sent. `close` resets the connection.
    """

    send: SendMessage
    drained: Callable[[], Awaitable[None]]
    close: Callable[[], None]

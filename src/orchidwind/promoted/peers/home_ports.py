"""What the home's side of a link needs of its proxy, and of the connection it sends on.

For: `peer_service`, `served_link`, `remote_session`; whoever runs a proxy fills them in.
"""

from __future__ import annotations

from collections.abc import Awaitable, Callable

from msgspec import Struct

from orchidwind.promoted.callers.session_registry import SessionRegistry
from orchidwind.promoted.core.peer_messages import LockReport, PeerMessage, ViewQuery, ViewReport
from orchidwind.promoted.group.group_service import GroupService
from orchidwind.promoted.quotas.quota_service import NoQuotas, Quotas

SendBack = Callable[[PeerMessage], None]
GroupLookup = Callable[[str], GroupService | None]
ReadLock = Callable[[int], Awaitable[LockReport]]
LendTokens = Callable[[str, float], float]
ReportView = Callable[[ViewQuery], ViewReport]


def _no_tokens(tenant: str, wanted: float) -> float:
    return 0.0


def _no_target(database: str) -> float | None:
    return None


class HomePorts(Struct, frozen=True):
    """What the service needs of its proxy.

    `read_lock` takes the number of a query and gives the promotion lock as the store has it.
    `transaction_idle` gives for how many seconds a transaction may rest, `target_latency` after how
    many seconds an answer of a database is late, None where it is not known. `quotas` lets the
    operations of tenants pass, `lend_tokens` gives another proxy some of a tenant's quota.
    """

    groups: GroupLookup
    registry: SessionRegistry
    read_lock: ReadLock
    transaction_idle: Callable[[], float]
    report_view: ReportView
    target_latency: Callable[[str], float | None] = _no_target
    quotas: Quotas = NoQuotas()
    lend_tokens: LendTokens = _no_tokens


class LinkWriter(Struct, frozen=True):
    """The way back on a link.

    `send` does not wait. `drained` waits until what was sent has left, `close` resets.
    """

    send: SendBack
    drained: Callable[[], Awaitable[None]]
    close: Callable[[], None]

"""The messages between proxies of promoted groups. No I/O.

Proxies of two versions must understand each other, so names and types of the fields stay as in
`messages.avsc`. `peers.peer_codec` encodes the messages; `forwarded_commands` and
`views.view_conversion` convert them. Times are in seconds.
"""

from __future__ import annotations

import msgspec

from orchidwind.promoted.core.commands import PreparedStatement
from orchidwind.promoted.core.configuration import (
    DatabaseRoute,
    DirectoryEntry,
    PromotedGroupSettings,
)
from orchidwind.promoted.core.homes import ProxyMember
from orchidwind.shared.core.positions import Position
from orchidwind.shared.core.tenant_connections import NO_TENANT
from orchidwind.shared.core.tenants import Tenant


class SettingValue(msgspec.Struct, frozen=True):
    """A setting of a session."""

    name: str
    value: str


class Greeting(msgspec.Struct, frozen=True):
    """The first message on a link, sent by the proxy that opened it."""

    proxy: str


class RunCommand(msgspec.Struct, frozen=True):
    """A command that a front proxy sends to the home proxy of its group.

    `channel` identifies the session on this link. `transaction` is "none", "begins" for the first
    command of a transaction that goes to an instance, or "continues". The settings of the database
    are those that the sender knows. `remaining` is the time until the command's deadline, `hold`
    the time for which it may wait before it is sent to an instance. `tenant` is the caller's
    tenant, empty if callers need no API key.
    """

    number: int
    channel: int
    group: str
    database: str
    consistency: str
    staleness: float
    priority: int
    timeout: float
    kind: str
    request_id: str
    text: str
    argument: str
    prepared: PreparedStatement | None
    settings: tuple[SettingValue, ...]
    floor: Position | None
    transaction: str
    read_only: bool
    remaining: float
    hold: float
    tenant: str = NO_TENANT


class CommandAnswer(msgspec.Struct, frozen=True):
    """The result of a command; `error` is empty on success.

    `floor` is the log position that later reads of the session must see. `sent_to` and `attempts`
    are for the log.
    """

    number: int
    error: str
    message: str
    retry_after_milliseconds: int | None
    rows: tuple[str, ...]
    signature: str
    floor: Position | None
    sent_to: str
    attempts: str


class CloseChannel(msgspec.Struct, frozen=True):
    """Asks the home proxy to roll back the session's open transaction, if any.

    Sent when the session has ended or has abandoned its transaction.
    """

    channel: int


class Probe(msgspec.Struct, frozen=True):
    """Asks the other proxy for an `Alive` message."""


class Alive(msgspec.Struct, frozen=True):
    """The sender is running; if `leaving`, it accepts no new transactions or statements."""

    leaving: bool


class LockQuery(msgspec.Struct, frozen=True):
    """Asks a proxy that reads the promotion lock for others for the state of the lock."""

    number: int


class LockReport(msgspec.Struct, frozen=True):
    """The lock's revision and whether it was free, from a read of the store.

    The read was sent `age` seconds before this message. `known` is false if the store did not
    answer.
    """

    number: int
    known: bool
    age: float
    revision: int
    free: bool


class ViewQuery(msgspec.Struct, frozen=True):
    """Asks for the view named `view` if it has changed after a revision; -1 asks in any case.

    `whole` asks for the content whatever its size, because the store does not serve the sender.
    """

    number: int
    view: str
    revision: int
    whole: bool = False


class ConfigurationView(msgspec.Struct, frozen=True):
    """A complete configuration; `tenants` is None if callers need no API key."""

    version: int
    databases: tuple[DatabaseRoute, ...]
    groups: tuple[PromotedGroupSettings, ...]
    transaction_idle: float
    tenants: tuple[Tenant, ...] | None = None
    public: tuple[str, ...] = ()


class DirectoryView(msgspec.Struct, frozen=True):
    """A complete directory."""

    entries: tuple[DirectoryEntry, ...]


class MembersView(msgspec.Struct, frozen=True):
    """The complete list of proxies."""

    proxies: tuple[ProxyMember, ...]


class QuotaSharesView(msgspec.Struct, frozen=True):
    """The proxies that hold shares of the tenants' quotas, at a revision of the stored object."""

    holders: tuple[str, ...]
    following: tuple[str, ...]
    revision: int


class TokenQuery(msgspec.Struct, frozen=True):
    """Asks for tokens of a tenant's quota; fractions of a token are allowed."""

    number: int
    tenant: str
    wanted: float


class TokenGrant(msgspec.Struct, frozen=True):
    """Tokens that the receiver may use at once; the sender has given them up."""

    number: int
    granted: float


class InstanceDemand(msgspec.Struct, frozen=True):
    """The running and waiting requests of the sender at an instance, a moving average."""

    group: str
    instance: str
    demand: float


class RoomQuery(msgspec.Struct, frozen=True):
    """Reports the sender's demands and asks for loans of the receiver's parts of the instances.

    Sent only to a proxy that has confirmed that it knows this message.
    """

    number: int
    demands: tuple[InstanceDemand, ...]


class InstanceLoan(msgspec.Struct, frozen=True):
    """How many requests at an instance the receiver may run instead of the sender."""

    group: str
    instance: str
    amount: float


class RoomGrant(msgspec.Struct, frozen=True):
    """The loans in answer to a `RoomQuery`.

    They are valid for `demand_shares.LOAN_SECONDS`, for the receiver from when it sent the query.
    Instances for which nothing is lent are left out.
    """

    number: int
    loans: tuple[InstanceLoan, ...]


class ViewReport(msgspec.Struct, frozen=True):
    """The state of a proxy's view, which was known to be current `age` seconds before this message.

    `known` is false if the proxy does not follow the view. The message contains the view if it has
    changed after the revision in the query; `omitted` is set if it has changed but is too large to
    be sent without `whole`.
    """

    number: int
    known: bool
    age: float
    revision: int
    omitted: bool = False
    configuration: ConfigurationView | None = None
    directory: DirectoryView | None = None
    members: MembersView | None = None
    quota_shares: QuotaSharesView | None = None


PeerMessage = (
    Greeting
    | RunCommand
    | CommandAnswer
    | CloseChannel
    | Probe
    | Alive
    | LockQuery
    | LockReport
    | ViewQuery
    | ViewReport
    | TokenQuery
    | TokenGrant
    | RoomQuery
    | RoomGrant
)

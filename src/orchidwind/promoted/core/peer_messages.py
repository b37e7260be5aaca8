"""The messages between proxies of promoted groups. No I/O.

For: `promoted.peers`. Owns the fields; processes of two versions read one another, so names and
types stay as in `messages.avsc`. `peers.peer_codec` encodes them, `forwarded_commands` and
`views.view_forms` fill them and read them. Times are in seconds.
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
    """First message of the proxy that opened the link."""

    proxy: str


class RunCommand(msgspec.Struct, frozen=True):
    """A command for the home of its group. Times are in seconds.

    `channel` stands for the session on this link. `transaction` is "none", "begins" for the first
    command that a transaction sends to an instance, or "continues". The rules of the database are
    those in force at the sender. `remaining` is the time until the command's deadline, `hold` the
    time for which it may wait unsent. `tenant` is the caller's, empty where it needs no API key.
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
    """How a command ended; `error` is empty for success.

    `floor` is the position that the session must see from now on. `sent_to` and `attempts` are for
    the log.
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
    """The session has gone, or gave its transaction up: roll back what is open."""

    channel: int


class Probe(msgspec.Struct, frozen=True):
    """Asks for an `Alive`."""


class Alive(msgspec.Struct, frozen=True):
    """The proxy runs; `leaving` tells that it takes no new transactions or statements."""

    leaving: bool


class LockQuery(msgspec.Struct, frozen=True):
    """Asks the proxy that reads the promotion lock for others."""

    number: int


class LockReport(msgspec.Struct, frozen=True):
    """The lock's revision and whether it was free, by a read sent `age` seconds before this.

    Without `known` the store did not answer.
    """

    number: int
    known: bool
    age: float
    revision: int
    free: bool


class ViewQuery(msgspec.Struct, frozen=True):
    """Asks for what is later than a revision in the view named `view`; -1 asks for all.

    With `whole` the content is wanted however long it is, as the store does not serve the asker.
    """

    number: int
    view: str
    revision: int
    whole: bool = False


class ConfigurationView(msgspec.Struct, frozen=True):
    """A configuration, whole. `tenants` is None where callers need no API key."""

    version: int
    databases: tuple[DatabaseRoute, ...]
    groups: tuple[PromotedGroupSettings, ...]
    transaction_idle: float
    tenants: tuple[Tenant, ...] | None = None
    public: tuple[str, ...] = ()


class DirectoryView(msgspec.Struct, frozen=True):
    """A directory, whole."""

    entries: tuple[DirectoryEntry, ...]


class MembersView(msgspec.Struct, frozen=True):
    """All proxies."""

    proxies: tuple[ProxyMember, ...]


class QuotaSharesView(msgspec.Struct, frozen=True):
    """Who holds shares of the tenants' quotas; `revision` is that of the object."""

    holders: tuple[str, ...]
    following: tuple[str, ...]
    revision: int


class TokenQuery(msgspec.Struct, frozen=True):
    """Asks for tokens of a tenant's quota, parts of one too."""

    number: int
    tenant: str
    wanted: float


class TokenGrant(msgspec.Struct, frozen=True):
    """Tokens that the asker may use at once; the sender has them no longer."""

    number: int
    granted: float


class ViewReport(msgspec.Struct, frozen=True):
    """A proxy's view, which was known to be current `age` seconds before this, as of `revision`.

    Without `known` the proxy does not follow that view. One of the views is given where it changed
    after the revision asked for; with `omitted` it did, and is too long to be sent unasked.
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
)

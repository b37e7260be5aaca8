"""The operator's configuration file: databases, zones, traffic classes and users.

For: `orchidwind check` and `apply`, and every proxy that adopts a version. Owns: the keys of the
file and of the stored object, and their validation. Errors: SettingsError with the path of the key.
"""

from __future__ import annotations

from collections.abc import Iterable

import msgspec

from orchidwind.elected.core.commit_barrier import Acknowledge
from orchidwind.shared.core.admission import TrafficClass
from orchidwind.shared.core.checked_decoding import decode_checked
from orchidwind.shared.core.errors import SettingsError

DEFAULT_CLASS = "default"
_MILLISECONDS = 1000.0


class ZoneSettings(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """A location of callers and proxies; zones of one region are near each other."""

    name: str
    region: str = "default"


class ClassSettings(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """A traffic class, and the users, application names and comment tags that belong to it."""

    name: str
    weight: float = 1.0
    deadline_ms: int = 5000
    queue_bound: int = 200
    users: list[str] = []
    application_names: list[str] = []
    tags: list[str] = []

    def traffic_class(self) -> TrafficClass:
        """The class as admission control uses it, with the deadline in seconds."""
        deadline = self.deadline_ms / _MILLISECONDS
        return TrafficClass(self.name, self.weight, deadline, self.queue_bound)


class UserSettings(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """A user that callers log in as."""

    name: str
    password: str


class InstanceAddress(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """One instance of a database group. A leaving instance gets no new work."""

    name: str
    host: str
    port: int
    zone: str
    leaving: bool = False


class DatabaseSettings(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """One database and its group.

    `slots` is the total number of server connections of all proxies to each instance; `zone_slots`
    divides them among zones if an equal division does not fit. `server_user` runs the callers'
    statements, `status_user` the status queries.
    """

    name: str
    slots: int
    instances: list[InstanceAddress]
    server_user: str
    server_password: str
    status_user: str = ""
    status_password: str = ""
    zone_slots: dict[str, int] = {}
    acknowledge: Acknowledge = Acknowledge.REPLICATED
    replica_wait_ms: int = 100


class OperatorFile(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """The complete configuration, which is accepted as a whole or not at all."""

    zones: list[ZoneSettings]
    databases: list[DatabaseSettings]
    users: list[UserSettings]
    classes: list[ClassSettings] = []


class ConfigurationDocument(msgspec.Struct, frozen=True):
    """An accepted configuration with its version, which only increases."""

    version: int
    content: OperatorFile


def parse_operator_file(text: bytes, source: str) -> OperatorFile:
    """Parse and validate a TOML file; raises SettingsError with source, key and reason."""
    content = decode_checked(source, lambda: msgspec.toml.decode(text, type=OperatorFile))
    check_operator_file(content, source)
    return content


def check_operator_file(content: OperatorFile, source: str) -> None:
    """Check the rules that types cannot express; raises SettingsError for the first violation."""
    if not content.zones:
        raise SettingsError(source, "zones", "at least one zone is needed")
    _no_duplicates(source, "zones", (zone.name for zone in content.zones))
    _no_duplicates(source, "classes", (item.name for item in content.classes))
    _no_duplicates(source, "users", (user.name for user in content.users))
    _no_duplicates(source, "databases", (database.name for database in content.databases))
    zones = {zone.name for zone in content.zones}
    for database in content.databases:
        _check_database(source, database, zones)
    for traffic_class in content.classes:
        _check_class(source, traffic_class)


def _no_duplicates(source: str, key: str, names: Iterable[str]) -> None:
    seen: set[str] = set()
    for name in names:
        if name in seen:
            raise SettingsError(source, f"{key}[{name}]", "the name stands twice")
        seen.add(name)


def _check_database(source: str, database: DatabaseSettings, zones: set[str]) -> None:
    key = f"databases[{database.name}]"
    if database.slots < 1:
        raise SettingsError(source, f"{key}.slots", "must be 1 or more")
    if not database.instances:
        raise SettingsError(source, f"{key}.instances", "at least one instance is needed")
    _no_duplicates(source, f"{key}.instances", (item.name for item in database.instances))
    for instance in database.instances:
        if instance.zone not in zones:
            reason = f"zone {instance.zone!r} is not among the zones"
            raise SettingsError(source, f"{key}.instances[{instance.name}].zone", reason)
    for zone in database.zone_slots:
        if zone not in zones:
            reason = f"zone {zone!r} is not among the zones"
            raise SettingsError(source, f"{key}.zone_slots", reason)
    total = sum(database.zone_slots.values())
    if total > database.slots:
        reason = f"the sum {total} is above the limit of {database.slots} slots"
        raise SettingsError(source, f"{key}.zone_slots", reason)


def _check_class(source: str, traffic_class: ClassSettings) -> None:
    key = f"classes[{traffic_class.name}]"
    if traffic_class.weight <= 0:
        raise SettingsError(source, f"{key}.weight", "must be above 0")
    if traffic_class.deadline_ms < 1:
        raise SettingsError(source, f"{key}.deadline_ms", "must be 1 or more")
    if traffic_class.queue_bound < 1:
        raise SettingsError(source, f"{key}.queue_bound", "must be 1 or more")


class ClassMatcher:
    """Finds the traffic class of a request: by comment tag, application name, then user."""

    def __init__(self, classes: list[ClassSettings]) -> None:
        self._by_tag: dict[str, TrafficClass] = {}
        self._by_application: dict[str, TrafficClass] = {}
        self._by_user: dict[str, TrafficClass] = {}
        self._default = TrafficClass(DEFAULT_CLASS)
        for item in classes:
            traffic_class = item.traffic_class()
            if item.name == DEFAULT_CLASS:
                self._default = traffic_class
            self._by_tag.update(dict.fromkeys([item.name, *item.tags], traffic_class))
            self._by_application.update(dict.fromkeys(item.application_names, traffic_class))
            self._by_user.update(dict.fromkeys(item.users, traffic_class))

    def match(self, user: str, application_name: str, tag: str) -> TrafficClass:
        """The traffic class of a request, the default class if nothing matches."""
        return (
            self._by_tag.get(tag)
            or self._by_application.get(application_name)
            or self._by_user.get(user)
            or self._default
        )

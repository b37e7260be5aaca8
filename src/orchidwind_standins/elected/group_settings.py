"""The settings file of a stand-in database group (TOML)."""

from __future__ import annotations

from pathlib import Path

import msgspec


class InstanceSettings(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """One instance: its zone and its ports for SQL callers, other instances and fault commands."""

    name: str
    zone: str
    port: int
    peer_port: int
    control_port: int
    host: str = "127.0.0.1"


class GroupSettings(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """A group of instances that hold the same databases. Durations are in milliseconds.

    `connection_limit` applies to the connections of ordinary users; those of `reserved_users` are
    not counted.
    """

    group: str
    databases: list[str]
    instances: list[InstanceSettings]
    first_primary: str
    users: dict[str, str]
    reserved_users: list[str] = []
    seed: int = 1
    connection_limit: int = 5
    connect_ms: float = 10.0
    statement_ms: float = 0.0
    zone_latency_ms: float = 0.0
    replay_lag_ms: float = 0.0

    def instance(self, name: str) -> InstanceSettings:
        """Look up an instance; raises KeyError."""
        for instance in self.instances:
            if instance.name == name:
                return instance
        raise KeyError(name)


class Faults(msgspec.Struct, forbid_unknown_fields=True):
    """A fault command; a field that is not given leaves its setting unchanged.

    `cut_peers` and `cut_zones` replace the lists of instances and of caller zones from which the
    instance is partitioned. `switchover` starts an election on a replica.
    """

    cut_peers: list[str] | None = None
    cut_zones: list[str] | None = None
    replay_lag_ms: float | None = None
    switchover: bool = False


def load(path: Path) -> GroupSettings:
    """Read a settings file; raises msgspec.ValidationError with the path of an invalid key."""
    return msgspec.toml.decode(path.read_bytes(), type=GroupSettings)

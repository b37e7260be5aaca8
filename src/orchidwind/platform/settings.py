"""The settings file that the platform provides for each process.

For: `main`, and `orchidwind check`. Owns the keys of the file and maps them to descriptive field
names. Other keys are ignored. Times are in milliseconds if the field's name ends in `_ms`, else in
seconds.

Source: the users' page DEPLOY.md.
"""

from __future__ import annotations

from pathlib import Path

import msgspec

from orchidwind.shared.core.checked_decoding import decode_checked
from orchidwind.shared.core.errors import SettingsError
from orchidwind.shared.settings import parse_address

SETTINGS_VARIABLE = "ORCHIDWIND_SETTINGS"


class ListenAddresses(msgspec.Struct, frozen=True):
    """Where this process listens, as HOST:PORT."""

    callers: str = msgspec.field(name="front")
    readiness: str = msgspec.field(name="ready")
    # For connections of other proxies. Despite its key, it isn't used to control this process.
    peers: str = msgspec.field(name="control")


class MachineLimits(msgspec.Struct, frozen=True):
    """The CPU of this process: a share of one core, and the speed of that core."""

    cpu_share: float = 1.0
    # The relative speed of the one core. Despite its key, it isn't a number of cores.
    core_speed: float = msgspec.field(default=1.0, name="cpu_cores")


class Bounds(msgspec.Struct, frozen=True):
    """Bounds that the platform requires of this process; defaults are those of the first users."""

    # Seconds from SIGTERM to the end of the process.
    planned_stop_seconds: float = msgspec.field(default=6.0, name="grace_s")
    # From the acknowledgement of a configuration until all requests are handled according to it.
    configuration_ms: float = msgspec.field(default=3000.0, name="config_apply_ms")
    # From the acknowledgement that an instance is leaving until it gets no more work. The drain of
    # this process itself is bounded by `planned_stop_seconds`.
    leaving_instance_ms: float = msgspec.field(default=7000.0, name="drain_ms")
    # From the return of contact between this machine and the store until the two bounds above hold
    # again.
    store_contact_ms: float = msgspec.field(default=4000.0, name="contact_ms")
    # Whether a revoked key must be rejected after `revocation_ms` in any case, even while the store
    # is unreachable.
    revocation_binds: bool = msgspec.field(default=False, name="strict_revocation")
    # From the acknowledgement of a configuration that revokes an API key until no proxy accepts it.
    revocation_ms: float = msgspec.field(default=5000.0, name="revoke_ms")
    # How far the operations of a tenant may exceed its quota in any window of `quota_window_s`
    # seconds: `quota_overshoot` is a share of what the quota allows in the window, `quota_slack` a
    # number of operations on top of it.
    quota_window_s: float = 1.0
    quota_overshoot: float = 0.0
    quota_slack: float = 0.0


class ServiceAddress(msgspec.Struct, frozen=True):
    """The address of a service of the platform, as HOST:PORT."""

    address: str


class PlatformSettings(msgspec.Struct, frozen=True):
    """The part of the settings file that this process uses."""

    proxy_name: str = msgspec.field(name="node_name")
    host: str = msgspec.field(name="ip")
    zone: str
    listen: ListenAddresses
    # The first and the last port of the range reserved for this project.
    internal_ports: list[int] = msgspec.field(name="internal_port_range")
    store: ServiceAddress = msgspec.field(name="platform")
    promotions: ServiceAddress = msgspec.field(name="cloud_api")
    bounds: Bounds = Bounds()
    limits: MachineLimits = MachineLimits()
    # How often an instance renews its entry in the directory.
    instance_heartbeat_ms: float = msgspec.field(default=1200.0, name="heartbeat_ms")
    # The region of each zone of the deployment; empty if the platform does not name regions.
    zones: dict[str, str] = {}
    # The region of this process' zone; used only if `zones` is empty.
    region: str = ""

    @property
    def region_by_zone(self) -> dict[str, str]:
        """The region of each zone, alike at all proxies with the same `zones`.

        A zone that is not listed, also that of this process, counts as one more region if there are
        several.
        """
        own = {self.zone: self.region} if self.region else {}
        return self.zones or own

    @property
    def lists_own_zone(self) -> bool:
        """Whether `zones` names the zone of this process, or nothing at all."""
        return not self.zones or self.zone in self.zones


def load_platform_settings(path: Path) -> PlatformSettings:
    """Read and check the settings file; raises SettingsError with file, key and reason."""
    source = str(path)
    settings = decode_checked(
        source, lambda: msgspec.json.decode(path.read_bytes(), type=PlatformSettings)
    )
    _check(source, settings)
    return settings


def _check(source: str, settings: PlatformSettings) -> None:
    addresses = {
        "listen.front": settings.listen.callers,
        "listen.ready": settings.listen.readiness,
        "listen.control": settings.listen.peers,
        "platform.address": settings.store.address,
        "cloud_api.address": settings.promotions.address,
    }
    for key, text in addresses.items():
        try:
            parse_address(text)
        except ValueError as error:
            raise SettingsError(source, key, str(error)) from error
    if len(settings.internal_ports) != 2:
        raise SettingsError(source, "internal_port_range", "must hold the first and the last port")

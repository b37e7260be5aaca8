"""The settings file that the platform lays for a process. Source: the users' page DEPLOY.md."""

from __future__ import annotations

from pathlib import Path

import msgspec

from orchidwind.shared.core.checked_decoding import decode_checked
from orchidwind.shared.core.errors import SettingsError
from orchidwind.shared.settings import parse_address

SETTINGS_VARIABLE = "ORCHIDWIND_SETTINGS"


class ListenAddresses(msgspec.Struct, frozen=True):
    """Where callers, probes and the other proxies come to, as HOST:PORT."""

    front: str
    ready: str
    control: str


class MachineLimits(msgspec.Struct, frozen=True):
    """What the machine gives this process: a share of a core that is so many times as fast."""

    cpu_share: float = 1.0
    cpu_cores: float = 1.0


class Bounds(msgspec.Struct, frozen=True):
    """Bounds that the platform holds this process to; the defaults are the first users'.

    A configuration is in force `config_apply_ms` after its acknowledgement, and an instance that
    leaves gets nothing `drain_ms` after its own; a machine whose path to the store has come back
    is held to both `contact_ms` later.
    """

    grace_s: float = 6.0
    config_apply_ms: float = 3000.0
    drain_ms: float = 7000.0
    contact_ms: float = 4000.0


class ServiceAddress(msgspec.Struct, frozen=True):
    """Where a service of the platform listens, as HOST:PORT."""

    address: str


class PlatformSettings(msgspec.Struct, frozen=True):
    """What this process uses of the file; other fields are passed over."""

    node_name: str
    ip: str
    zone: str
    listen: ListenAddresses
    internal_port_range: list[int]
    platform: ServiceAddress
    cloud_api: ServiceAddress
    bounds: Bounds = Bounds()
    limits: MachineLimits = MachineLimits()
    heartbeat_ms: float = 1200.0


def load_platform_settings(path: Path) -> PlatformSettings:
    """Read and check; raises SettingsError with file, key and reason."""
    source = str(path)
    settings = decode_checked(
        source, lambda: msgspec.json.decode(path.read_bytes(), type=PlatformSettings)
    )
    _check(source, settings)
    return settings


def _check(source: str, settings: PlatformSettings) -> None:
    addresses = {
        "listen.front": settings.listen.front,
        "listen.ready": settings.listen.ready,
        "listen.control": settings.listen.control,
        "platform.address": settings.platform.address,
        "cloud_api.address": settings.cloud_api.address,
    }
    for key, text in addresses.items():
        try:
            parse_address(text)
        except ValueError as error:
            raise SettingsError(source, key, str(error)) from error
    if len(settings.internal_port_range) != 2:
        raise SettingsError(source, "internal_port_range", "must hold the first and the last port")

"""Settings of a proxy of elected groups, from a TOML file and overriding command line flags.

Used by `orchidwind proxy`; proxies of promoted groups use `parse_address` as well. Owns the keys,
their defaults and checks. Unknown keys are refused.
"""

from __future__ import annotations

import ipaddress
from pathlib import Path

import msgspec

from orchidwind.shared.core.checked_decoding import decode_checked
from orchidwind.shared.core.errors import SettingsError

_HIGHEST_PORT = 65535


class ProxySettings(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Name, location, listening addresses and limits of a proxy.

    `seeds` are gossip addresses of other proxies, as "HOST:PORT". The port for callers listens on
    `caller_host`, all other ports on `host`, the address that other proxies use. During a planned
    stop, connected callers are served for another `linger_seconds`; then callers that are not in a
    transaction are disconnected. The process ends at the latest `drain_seconds` after the stop
    began.
    """

    name: str
    zone: str
    platform_url: str
    host: str = "127.0.0.1"
    caller_host: str = ""
    caller_port: int = 6432
    peer_port: int = 6433
    gossip_port: int = 6434
    operator_port: int = 6435
    seeds: list[str] = []
    maximum_callers: int = 10_000
    linger_seconds: float = 10.0
    drain_seconds: float = 30.0
    log_level: str = "INFO"


class ProxyOverrides(msgspec.Struct, frozen=True):
    """Values of command line flags; None keeps the value of the file."""

    name: str | None = None
    zone: str | None = None
    host: str | None = None
    platform_url: str | None = None
    caller_port: int | None = None
    peer_port: int | None = None
    gossip_port: int | None = None
    operator_port: int | None = None


def load_proxy_settings(path: Path, overrides: ProxyOverrides | None = None) -> ProxySettings:
    """Load the settings file, apply the overrides and check the result.

    Raises SettingsError with the file, the key and the reason.
    """
    source = str(path)
    settings = decode_checked(
        source, lambda: msgspec.toml.decode(path.read_bytes(), type=ProxySettings)
    )
    if overrides is not None:
        given = {
            name: value
            for name, value in msgspec.structs.asdict(overrides).items()
            if value is not None
        }
        settings = msgspec.structs.replace(settings, **given)
    _check(source, settings)
    return settings


def _check(source: str, settings: ProxySettings) -> None:
    for key in ("caller_port", "peer_port", "gossip_port", "operator_port"):
        port = getattr(settings, key)
        if not 1 <= port <= _HIGHEST_PORT:
            raise SettingsError(source, key, f"{port} is not a port number (1 to {_HIGHEST_PORT})")
    for key in ("name", "zone"):
        if not getattr(settings, key):
            raise SettingsError(source, key, "must not be empty")
    try:
        ipaddress.ip_address(settings.host)
    except ValueError as error:
        raise SettingsError(source, "host", str(error)) from error
    for seed in settings.seeds:
        try:
            parse_address(seed)
        except ValueError as error:
            raise SettingsError(source, "seeds", str(error)) from error


def parse_address(text: str) -> tuple[str, int]:
    """Parse "HOST:PORT"; raises ValueError."""
    host, separator, port = text.rpartition(":")
    digits = port.isascii() and port.isdecimal()
    if not separator or not digits or not 1 <= int(port) <= _HIGHEST_PORT:
        raise ValueError(f"{text!r} is not HOST:PORT")
    return host, int(port)

"""The `orchidwind` command: run, inspect and drain a proxy; check and apply operators' files.

Owns the commands, options and exit codes, which operators' scripts rely on. The parameters of each
command's function are its options. `operations` and `explain` implement the commands.
"""

from __future__ import annotations

import asyncio
import gc
import json
import signal
import sys
from pathlib import Path

import defopt

from orchidwind.commands import operations
from orchidwind.commands.explain import explain_request, read_logs
from orchidwind.elected.daemon import ProxyDaemon
from orchidwind.platform.settings import load_platform_settings
from orchidwind.shared.core.errors import OrchidwindError, SettingsError
from orchidwind.shared.logs import configure_logging
from orchidwind.shared.settings import ProxyOverrides, ProxySettings, load_proxy_settings

# Exit codes: the file is invalid; the command failed.
_EXIT_INVALID_FILE = 2
_EXIT_FAILED = 1


def proxy(
    *,
    settings: Path,
    name: str | None = None,
    zone: str | None = None,
    host: str | None = None,
    platform_url: str | None = None,
    caller_port: int | None = None,
    peer_port: int | None = None,
    gossip_port: int | None = None,
    operator_port: int | None = None,
) -> None:
    """Run one proxy until SIGTERM, which drains it. Options override the settings file.

    :param settings: settings file of this process (TOML)
    :param name: name of this proxy, unique among all proxies
    :param zone: zone of this proxy and its callers
    :param host: IP address that other proxies use
    :param platform_url: base URL of the platform's service
    :param caller_port: port for callers (PostgreSQL protocol)
    :param peer_port: port for requests of other proxies (TCP)
    :param gossip_port: port for membership (UDP)
    :param operator_port: port for /metrics, /healthz, /readyz, /status (HTTP)
    """
    overrides = ProxyOverrides(
        name, zone, host, platform_url, caller_port, peer_port, gossip_port, operator_port
    )
    loaded = load_proxy_settings(settings, overrides)
    configure_logging(loaded.log_level, loaded.name)
    asyncio.run(_run_proxy(loaded))


async def _run_proxy(settings: ProxySettings) -> None:
    gc.freeze()
    gc.set_threshold(20_000, 20, 50)
    daemon = ProxyDaemon(settings)
    loop = asyncio.get_running_loop()
    for signal_number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(signal_number, daemon.drain)
    await daemon.run()


def check(file: Path) -> None:
    """Check an operators' file or a proxy's platform settings; changes nothing.

    :param file: operators' file (TOML), or platform settings (JSON)
    """
    if file.suffix == ".json":
        loaded = load_platform_settings(file)
        print(f"{file}: ok, node {loaded.proxy_name} in {loaded.zone}")
        return
    content = operations.load(file)
    print(f"{file}: ok, {len(content.databases)} databases in {len(content.zones)} zones")


def apply(file: Path, *, platform_url: str) -> None:
    """Check an operators' file and put it in force, as a whole or not at all.

    If another operator applies a file at the same time, nothing is changed and the exit code is 1.

    :param file: operators' file (TOML)
    :param platform_url: base URL of the platform's service
    """
    version = asyncio.run(operations.apply(operations.load(file), platform_url))
    print(f"{file}: in force as version {version}")


def status(*, operator_url: str) -> None:
    """Show the state of one proxy as JSON.

    :param operator_url: base URL of the proxy's operator port
    """
    body = asyncio.run(operations.fetch(f"{operator_url.rstrip('/')}/status"))
    print(json.dumps(json.loads(body), indent=2))


def drain(*, operator_url: str) -> None:
    """Start the planned stop of one proxy, which lets requests in progress finish.

    :param operator_url: base URL of the proxy's operator port
    """
    asyncio.run(operations.fetch(f"{operator_url.rstrip('/')}/drain", method="POST"))
    print("draining")


def explain(*logs: Path, request_id: str) -> None:
    """Show the log lines that explain the outcome of a request.

    :param logs: log files of the proxies
    :param request_id: id of the request, as the caller knows it
    """
    for line in explain_request(read_logs(logs), request_id):
        print(line)


def main() -> None:
    """Entry point of `orchidwind`."""
    try:
        defopt.run([proxy, check, apply, status, drain, explain])
    except SettingsError as error:
        print(error, file=sys.stderr)
        sys.exit(_EXIT_INVALID_FILE)
    except OrchidwindError as error:
        print(error, file=sys.stderr)
        sys.exit(_EXIT_FAILED)

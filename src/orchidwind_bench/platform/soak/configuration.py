"""Checks that proxies apply new versions of the configuration in time.

Each version has a route that no other version has. Opening a session for that route shows whether
a proxy uses that version.
"""

from __future__ import annotations

import asyncio
import time
from dataclasses import dataclass

from tornado.iostream import StreamClosedError
from tornado.tcpclient import TCPClient

from orchidwind_bench.platform.soak.callers import Record
from orchidwind_bench.platform.soak.system import (
    APPLY_SECONDS,
    CONTACT_SECONDS,
    HOST,
    ProxyProcess,
    SoakSystem,
)

_PROBE_PAUSE_SECONDS = 0.2
_ANSWER_SECONDS = 2.0


@dataclass(frozen=True, slots=True)
class ProbeAnswer:
    """Whether a proxy accepted a session for the route of `version`.

    The request was sent at `sent_at`, and its answer was read at `answered_at`.
    """

    proxy: str
    version: int
    sent_at: float
    answered_at: float
    served: bool


def broken_promise(system: SoakSystem, answer: ProbeAnswer, newest_seen: int) -> str:
    """The violation that an answer shows; empty if there is none.

    `newest_seen` is the newest version that the same process has served before; it must not go back
    to an older one. A proxy must apply a version within `APPLY_SECONDS` after it was written,
    unless the proxy or the store was disturbed within the last `CONTACT_SECONDS`. A version that
    was replaced before the answer was read need not be served.
    """
    if answer.served and answer.version < newest_seen:
        return f"CONFIG: {answer.proxy} goes back to {answer.version} from {newest_seen}"
    if system.undisturbed_seconds(answer.proxy, answer.sent_at) < CONTACT_SECONDS:
        return ""
    required = system.required_version(answer.sent_at - APPLY_SECONDS)
    newest = system.required_version(answer.answered_at)
    if answer.served and answer.version < required:
        return f"CONFIG: {answer.proxy} still serves {answer.version}, {required} is due"
    if not answer.served and answer.version == required == newest:
        return f"CONFIG: {answer.proxy} does not serve {answer.version}, which is due"
    return ""


class ConfigurationProber:
    """Repeatedly probes one proxy for the routes of the newest version and the one before it."""

    def __init__(self, system: SoakSystem, record: Record, proxy: ProxyProcess) -> None:
        self._system = system
        self._record = record
        self._proxy = proxy
        self._process: object = None
        self._newest_seen = 0

    async def run(self, until: float) -> None:
        """Probe until a time of the monotonic clock."""
        while time.monotonic() < until:
            for version in self._system.probed_versions():
                await self._probe(version)
            await asyncio.sleep(_PROBE_PAUSE_SECONDS)

    async def _probe(self, version: int) -> None:
        process, sent_at = self._proxy.program, time.monotonic()
        served = await self._ask(version)
        if served is None or process is not self._proxy.program:
            return
        if process is not self._process:
            self._process, self._newest_seen = process, 0
        answer = ProbeAnswer(self._proxy.name, version, sent_at, time.monotonic(), served)
        broken = broken_promise(self._system, answer, self._newest_seen)
        if broken:
            self._record.broken.append(broken)
        self._record.count("configuration: " + ("served" if served else "not served"))
        if served:
            self._newest_seen = max(self._newest_seen, version)

    async def _ask(self, version: int) -> bool | None:
        """Whether the proxy accepts a session; None if it gives no answer or another error."""
        try:
            async with asyncio.timeout(_ANSWER_SECONDS):
                stream = await TCPClient().connect(HOST, self._proxy.front)
                try:
                    await stream.write(f"STARTUP {self._system.route(version)} x\r\n".encode())
                    line = await stream.read_until(b"\r\n")
                finally:
                    stream.close()
        except (OSError, StreamClosedError, TimeoutError):
            return None
        if line.startswith(b"READY"):
            return True
        return False if line.startswith(b"ERROR NODB") else None

"""Faults of the soak's proxies: kill, freeze, stop, and reload of the settings.

Each fault takes the number of a part, which selects a proxy, and returns a function that undoes the
fault, or None. A claimed proxy is not disturbed again.
"""

from __future__ import annotations

from collections.abc import Callable

from orchidwind_bench.platform.soak.fault_claims import FaultClaims
from orchidwind_bench.platform.soak.planned_fault import Undo
from orchidwind_bench.platform.soak.system import ProxyProcess, SoakSystem


class ProxyFaults:
    """Makes proxies fail."""

    def __init__(self, system: SoakSystem, claims: FaultClaims) -> None:
        self._system = system
        self._claims = claims

    def _proxy(self, part: int) -> ProxyProcess:
        return self._system.proxies[part % len(self._system.proxies)]

    def _restart(self, proxy: ProxyProcess) -> None:
        if proxy.program is not None and proxy.program.running:
            proxy.program.kill()
        self._system.start_proxy(proxy)
        self._claims.release(proxy.name)

    def kill_proxy(self, part: int) -> Undo:
        """Send SIGKILL to a proxy; it restarts later."""
        proxy = self._proxy(part)
        if proxy.program is None or not self._claims.claim(proxy.name):
            return None
        proxy.program.kill()
        return lambda: self._restart(proxy)

    def _promoter(self) -> int:
        """The index of the proxy that called the last promotion; 0 if it is unknown."""
        called = self._system.store.promotions
        names = [proxy.name for proxy in self._system.proxies]
        return names.index(called[-1][2]) if called and called[-1][2] in names else 0

    def kill_promoter(self, part: int) -> Undo:
        """Send SIGKILL to the proxy that called the last promotion."""
        return self.kill_proxy(self._promoter())

    def freeze_promoter(self, part: int) -> Undo:
        """Send SIGSTOP to the proxy that called the last promotion, and later SIGCONT."""
        return self.freeze_proxy(self._promoter())

    def kill_all_proxies(self, part: int) -> Undo:
        """Send SIGKILL to every proxy that is not claimed by another fault."""
        undos = [self.kill_proxy(number) for number in range(len(self._system.proxies))]
        return lambda: _run_all([undo for undo in undos if undo is not None])

    def freeze_proxy(self, part: int) -> Undo:
        """Send SIGSTOP to a proxy, and later SIGCONT."""
        proxy = self._proxy(part)
        if proxy.program is None or not self._claims.claim(proxy.name):
            return None
        program = proxy.program
        program.freeze()

        def thaw() -> None:
            program.thaw()
            self._claims.release(proxy.name)

        return thaw

    def stop_proxy(self, part: int) -> Undo:
        """Send SIGTERM to a proxy; later kill it if it still runs, and restart it."""
        proxy = self._proxy(part)
        if proxy.program is None or not self._claims.claim(proxy.name):
            return None
        proxy.program.terminate()
        return lambda: self._restart(proxy)

    def reload_settings(self, part: int) -> Undo:
        """Send SIGHUP to a proxy, so that it reads its settings again."""
        proxy = self._proxy(part)
        program = proxy.program
        if program is not None and program.running and not self._claims.claimed(proxy.name):
            program.reload()
        return None


def _run_all(undos: list[Callable[[], None]]) -> None:
    for undo in undos:
        undo()


PROXY_FAULTS: dict[str, Callable[[ProxyFaults, int], Undo]] = {
    "freeze_promoter": ProxyFaults.freeze_promoter,
    "freeze_proxy": ProxyFaults.freeze_proxy,
    "kill_all_proxies": ProxyFaults.kill_all_proxies,
    "kill_promoter": ProxyFaults.kill_promoter,
    "kill_proxy": ProxyFaults.kill_proxy,
    "reload_settings": ProxyFaults.reload_settings,
    "stop_proxy": ProxyFaults.stop_proxy,
}

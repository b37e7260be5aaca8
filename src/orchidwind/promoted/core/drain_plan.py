"""The schedule by which a proxy ends its sessions at a planned shutdown. No I/O.

`callers.session_registry` follows it; times are in seconds since the shutdown began. The proxy
accepts new sessions for a while, because callers are still sent here until the platform has noticed
that the proxy is not ready. Meanwhile it closes idle sessions at an even rate, so that they
reconnect to other proxies at an even rate.
"""

from __future__ import annotations

from msgspec import Struct

# Seconds for which new sessions are accepted. The first users' platform stops sending callers here
# a few readiness probes after the proxy is no longer ready.
_ACCEPT_SECONDS = 2.6
# Maximum share of the grace period for which new sessions are accepted, if the period is short.
_ACCEPT_SHARE = 0.45
# Share of the grace period after which sessions in a transaction are also closed: a transaction has
# half of the period to end.
_TRANSACTION_SHARE = 0.5
# Share of the grace period after which the remaining sessions are not waited for. The rest is
# needed to end links and the leadership lease before the process is killed.
_END_SHARE = 0.85


class DrainPlan(Struct, frozen=True):
    """The shutdown of a proxy: its grace period, and its number of sessions at the beginning."""

    grace_seconds: float
    sessions: int

    def is_over(self, elapsed: float) -> bool:
        """Whether the proxy stops waiting for sessions to end."""
        return elapsed >= self.grace_seconds * _END_SHARE

    def accepts_sessions(self, elapsed: float) -> bool:
        """Whether new sessions are still accepted."""
        return elapsed < self._accept_seconds

    def closable_sessions(self, elapsed: float, closed: int, present: int) -> int:
        """Returns how many sessions may be closed now.

        `closed` sessions were closed before, and `present` sessions are still open.
        """
        if not self.accepts_sessions(elapsed):
            return present
        return int(self.sessions * (elapsed / self._accept_seconds)) - closed

    def ends_transactions(self, elapsed: float) -> bool:
        """Whether sessions in a transaction are also closed."""
        return elapsed > self.grace_seconds * _TRANSACTION_SHARE

    @property
    def _accept_seconds(self) -> float:
        return min(_ACCEPT_SECONDS, self.grace_seconds * _ACCEPT_SHARE)

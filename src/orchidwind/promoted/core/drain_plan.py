"""How the sessions of a proxy end at its planned stop. No I/O; times are seconds since it began.

For: `callers.session_registry`. New sessions are taken for a while: callers are still sent here
until the platform has seen that this proxy is not ready. Sessions that rest are closed in even
steps meanwhile, so that they come back elsewhere evenly.
"""

from __future__ import annotations

from msgspec import Struct

# New sessions are taken for so many seconds. The first users' platform sends no caller here
# some probes after the proxy is no longer ready.
_ACCEPT_SECONDS = 2.6
# ... and for no more than this share of the time given, where that is short.
_ACCEPT_SHARE = 0.45
# From this share of the time on, sessions in a transaction are closed, too. A transaction
# has half of the time to end.
_TRANSACTION_SHARE = 0.5
# After this share nothing is waited for any more. The rest is for ending links and the lead
# lease before the process is killed.
_END_SHARE = 0.85


class DrainPlan(Struct, frozen=True):
    """The stop of a proxy: the time that it has, and the sessions that it had when it began."""

    grace_seconds: float
    sessions: int

    def over(self, elapsed: float) -> bool:
        """Whether nothing is waited for any more."""
        return elapsed >= self.grace_seconds * _END_SHARE

    def accepts(self, elapsed: float) -> bool:
        """Whether new sessions may still come."""
        return elapsed < self._accept_seconds

    def may_close(self, elapsed: float, closed: int, present: int) -> int:
        """How many sessions may be closed now, of which `closed` were before."""
        if not self.accepts(elapsed):
            return present
        return int(self.sessions * (elapsed / self._accept_seconds)) - closed

    def ends_transactions(self, elapsed: float) -> bool:
        """Whether sessions in a transaction are closed, too."""
        return elapsed > self.grace_seconds * _TRANSACTION_SHARE

    @property
    def _accept_seconds(self) -> float:
        return min(_ACCEPT_SECONDS, self.grace_seconds * _ACCEPT_SHARE)

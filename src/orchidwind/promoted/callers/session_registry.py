"""The sessions of one proxy, and how they are closed when the proxy is stopped as planned.

For: the code that accepts callers and `peers.remote_session`, which add their sessions, and
`platform.main`, which calls `drain`. Owns the set of sessions. Relies on `core.drain_plan` for how
many sessions may be closed at which time.
"""

from __future__ import annotations

import asyncio
from typing import Protocol

from orchidwind.promoted.core.drain_plan import DrainPlan
from orchidwind.shared.logs import log_event

# Interval at which sessions are closed while the proxy drains, seconds. With the times of the
# drain plan about a fiftieth of the sessions are closed in each step.
_DRAIN_STEP_SECONDS = 0.05


class CallerConnection(Protocol):
    """One session, as far as the drain needs it."""

    @property
    def idle(self) -> bool:
        """Whether no caller waits for an answer on it."""

    @property
    def in_transaction(self) -> bool:
        """Whether a transaction is open on it."""

    def close(self) -> None:
        """Close the session."""


class SessionRegistry:
    """All sessions of this proxy."""

    def __init__(self) -> None:
        self.sessions: set[CallerConnection] = set()
        self.draining = False

    async def drain(self, grace_seconds: float) -> None:
        """Close all sessions, each while it is idle, within `grace_seconds`."""
        self.draining = True
        loop = asyncio.get_running_loop()
        began_at = loop.time()
        plan = DrainPlan(grace_seconds, len(self.sessions))
        closed = 0
        log_event("drain_started", sessions=plan.sessions, grace_seconds=grace_seconds)
        while not plan.is_over(elapsed := loop.time() - began_at):
            allowed = plan.closable_sessions(elapsed, closed, len(self.sessions))
            closed += self._close_idle(allowed, plan.ends_transactions(elapsed))
            if not plan.accepts_sessions(elapsed) and not self.sessions:
                break
            await asyncio.sleep(_DRAIN_STEP_SECONDS)
        log_event("drain_ended", sessions_left=len(self.sessions), closed=closed)

    def _close_idle(self, limit: int, with_transactions: bool) -> int:
        """Close up to `limit` idle sessions. Returns how many were closed."""
        closed = 0
        for session in list(self.sessions):
            if closed >= limit:
                break
            if session.idle and (with_transactions or not session.in_transaction):
                session.close()
                closed += 1
        return closed

"""The callers' sessions of one proxy, and its planned stop.

For: the callers' edge and `peers.remote_session`, which add their sessions, and `platform.main`,
which drains. Owns the set of sessions. Relies on `core.drain_plan` for who is closed when.
"""

from __future__ import annotations

import asyncio
from typing import Protocol

from orchidwind.promoted.core.drain_plan import DrainPlan
from orchidwind.shared.logs import log_event

# How often sessions are closed while the proxy stops, seconds. With the times of the plan a
# fiftieth of the sessions at a time.
_STEP_SECONDS = 0.05


class CallerConnection(Protocol):
    """One session as the planned stop sees it."""

    @property
    def idle(self) -> bool:
        """Whether nobody waits for an answer on it."""

    @property
    def in_transaction(self) -> bool:
        """Whether a transaction is open."""

    def close(self) -> None:
        """End the session."""


class SessionRegistry:
    """All sessions of this proxy."""

    def __init__(self) -> None:
        self.sessions: set[CallerConnection] = set()
        self.draining = False

    async def drain(self, grace_seconds: float) -> None:
        """End all sessions between requests, within the grace."""
        self.draining = True
        loop = asyncio.get_running_loop()
        began_at = loop.time()
        plan = DrainPlan(grace_seconds, len(self.sessions))
        closed = 0
        log_event("drain_started", sessions=plan.sessions, grace_seconds=grace_seconds)
        while not plan.is_over(elapsed := loop.time() - began_at):
            due = plan.closable_sessions(elapsed, closed, len(self.sessions))
            closed += self._close_resting(due, plan.ends_transactions(elapsed))
            if not plan.accepts_sessions(elapsed) and not self.sessions:
                break
            await asyncio.sleep(_STEP_SECONDS)
        log_event("drain_ended", sessions_left=len(self.sessions), closed=closed)

    def _close_resting(self, most: int, with_transactions: bool) -> int:
        closed = 0
        for session in list(self.sessions):
            if closed >= most:
                break
            if session.idle and (with_transactions or not session.in_transaction):
                session.close()
                closed += 1
        return closed

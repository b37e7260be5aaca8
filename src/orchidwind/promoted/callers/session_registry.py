"""The callers' sessions of one proxy, and its planned stop."""

from __future__ import annotations

import asyncio
from typing import Protocol

from orchidwind.shared.logs import log_event

ACCEPT_SECONDS = 2.6
_STEP_SECONDS = 0.05
_ACCEPT_SHARE = 0.45
_TRANSACTION_SHARE = 0.5
_END_SHARE = 0.85


class CallerConnection(Protocol):
    """One session as the planned stop sees it."""

    @property
    def resting(self) -> bool:
        """Whether nothing is asked."""

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
        """End all sessions between requests, within the grace.

        New sessions are taken for a while: callers are still sent here until the platform has seen
        that this proxy is not ready. Sessions that rest are closed in even steps, so that they come
        back elsewhere evenly. A transaction has half of the grace to end.
        """
        self.draining = True
        loop = asyncio.get_running_loop()
        began = loop.time()
        total = len(self.sessions)
        closed = 0
        log_event("drain_started", sessions=total, grace_seconds=grace_seconds)
        accept_until = min(ACCEPT_SECONDS, grace_seconds * _ACCEPT_SHARE)
        while (elapsed := loop.time() - began) < grace_seconds * _END_SHARE:
            share = min(1.0, elapsed / accept_until)
            wanted = len(self.sessions) if share >= 1.0 else int(total * share) - closed
            closed += self._close_resting(wanted, elapsed > grace_seconds * _TRANSACTION_SHARE)
            if share >= 1.0 and not self.sessions:
                break
            await asyncio.sleep(_STEP_SECONDS)
        log_event("drain_ended", sessions_left=len(self.sessions), closed=closed)

    def _close_resting(self, wanted: int, with_transactions: bool) -> int:
        closed = 0
        for session in list(self.sessions):
            if closed >= wanted:
                break
            if session.resting and (with_transactions or not session.in_transaction):
                session.close()
                closed += 1
        return closed

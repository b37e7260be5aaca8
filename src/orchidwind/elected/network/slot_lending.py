"""Borrows and lends server connections of one database between its homes.

Owns the timer of the leases; `core/slot_leases.py` decides, `LeasePort` reaches the other homes.
"""

from __future__ import annotations

import asyncio
from typing import Protocol

from orchidwind.elected.core.configuration import DatabaseSettings
from orchidwind.elected.core.slot_leases import LeaseAnswer, SlotLeases

# Requests that wait for longer let the home borrow connections (docs/DECISIONS.md,
# "Slots are lent between homes"). Seconds.
_SHORT_OF_SLOTS_SECONDS = 0.1
# Connections asked of each lender; it lends what it can spare.
_WANTED_SLOTS = 4


class LeasePort(Protocol):
    """How a home reaches the other homes of a database."""

    def other_homes(self, database: DatabaseSettings) -> list[str]:
        """The homes of the other zones."""

    def ask(self, lender: str, database: str, wanted: int) -> None:
        """Send a request for a lease; the answer comes by `take_lease`."""


class SlotUser(Protocol):
    """The home whose connections are lent or borrowed."""

    database: DatabaseSettings

    def apply_share(self) -> None:
        """Hold as many connections as the leases say now."""

    def queued_requests(self) -> int:
        """Requests that wait for a connection."""

    def spare_slots(self) -> int:
        """Connections to each instance that nobody uses."""


class SlotLending:
    """The leases of one home, with their timer."""

    def __init__(self, leases: SlotLeases, port: LeasePort, user: SlotUser) -> None:
        self._leases = leases
        self._port = port
        self._user = user
        self._loop = asyncio.get_running_loop()
        self._timer: asyncio.TimerHandle | None = None
        self._closed = False

    def lend(self, borrower: str, wanted: int) -> LeaseAnswer:
        """Another home asks for connections; they are given up here before the answer leaves."""
        now = self._loop.time()
        answer = self._leases.on_ask(now, borrower, wanted, self._user.spare_slots())
        self._leases_changed()
        return answer

    def take_lease(self, lender: str, answer: LeaseAnswer) -> None:
        """Another home answered."""
        self._leases.on_answer(self._loop.time(), lender, answer)
        self._leases_changed()

    def requests_wait(self) -> None:
        """Requests wait for connections: borrow some if they still do shortly."""
        if self._timer is None:
            self._set_timer(self._loop.time() + _SHORT_OF_SLOTS_SECONDS)

    def close(self) -> None:
        """Stop the timer."""
        self._closed = True
        if self._timer is not None:
            self._timer.cancel()

    def _leases_changed(self) -> None:
        self._user.apply_share()
        self._set_timer(self._leases.deadline())

    def _set_timer(self, due: float) -> None:
        """Set an earlier timer; a later one waits for the one that is set."""
        if self._closed or due == float("inf"):
            return
        if self._timer is not None:
            if self._timer.when() <= due:
                return
            self._timer.cancel()
        self._timer = self._loop.call_at(due, self._on_timer)

    def _on_timer(self) -> None:
        self._timer = None
        now = self._loop.time()
        if self._user.queued_requests() > 0 and self._leases.base_share > 0:
            database = self._user.database
            for ask in self._leases.asks(now, self._port.other_homes(database), _WANTED_SLOTS):
                self._port.ask(ask.lender, database.name, ask.wanted)
            self._set_timer(now + _SHORT_OF_SLOTS_SECONDS)
        self._leases_changed()

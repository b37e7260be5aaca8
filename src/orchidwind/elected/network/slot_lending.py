"""Borrows and lends connection slots of one database between its home proxies.

Owns the timer of the leases. `core/slot_leases.py` decides what is lent and borrowed; `LeasePort`
sends requests to the other homes.
"""

from __future__ import annotations

import asyncio
from typing import Protocol

from orchidwind.elected.core.configuration import DatabaseSettings
from orchidwind.elected.core.slot_leases import LeaseAnswer, SlotLeases

# A home asks to borrow connections once requests have been queued for this time
# (docs/DECISIONS.md, "Slots are lent between homes").
_BORROW_AFTER_SECONDS = 0.1
# The number of connections requested from each lender; a lender grants at most its spare ones.
_WANTED_SLOTS = 4


class LeasePort(Protocol):
    """Sends lease requests to the other homes of a database."""

    def other_homes(self, database: DatabaseSettings) -> list[str]:
        """Return the names of the homes in the other zones."""

    def request_lease(self, lender: str, database: str, wanted: int) -> None:
        """Ask another home for a lease; the answer arrives by `on_lease_answer`."""


class LendingHome(Protocol):
    """The home on whose behalf connections are lent and borrowed."""

    database: DatabaseSettings

    def apply_share(self) -> None:
        """Set the limit of open connections to the share that the leases allow now."""

    def queued_requests(self) -> int:
        """Return the number of requests that wait for a connection."""

    def spare_slots(self) -> int:
        """Return the number of unused slots for each instance."""


class SlotLending:
    """Drives the leases of one home with a timer."""

    def __init__(self, leases: SlotLeases, port: LeasePort, home: LendingHome) -> None:
        self._leases = leases
        self._port = port
        self._home = home
        self._loop = asyncio.get_running_loop()
        self._timer: asyncio.TimerHandle | None = None
        self._closed = False

    def lend(self, borrower: str, wanted: int) -> LeaseAnswer:
        """Answer a lease request of another home.

        The lent connections are released here before the answer is returned.
        """
        now = self._loop.time()
        answer = self._leases.on_lease_request(now, borrower, wanted, self._home.spare_slots())
        self._leases_changed()
        return answer

    def on_lease_answer(self, lender: str, answer: LeaseAnswer) -> None:
        """Apply the answer of another home to a lease request."""
        self._leases.on_answer(self._loop.time(), lender, answer)
        self._leases_changed()

    def on_requests_queued(self) -> None:
        """Start the timer after which connections are borrowed if requests are still queued."""
        if self._timer is None:
            self._set_timer(self._loop.time() + _BORROW_AFTER_SECONDS)

    def close(self) -> None:
        """Stop the timer."""
        self._closed = True
        if self._timer is not None:
            self._timer.cancel()

    def _leases_changed(self) -> None:
        self._home.apply_share()
        self._set_timer(self._leases.deadline())

    def _set_timer(self, due: float) -> None:
        """Set the timer unless it already expires earlier; `_on_timer` computes the next time."""
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
        if self._home.queued_requests() > 0 and self._leases.base_share > 0:
            database = self._home.database
            for request in self._leases.lease_requests(
                now, self._port.other_homes(database), _WANTED_SLOTS
            ):
                self._port.request_lease(request.lender, database.name, request.wanted)
            self._set_timer(now + _BORROW_AFTER_SECONDS)
        self._leases_changed()

"""Follows a collection of the store: lists it once, then takes changes as they come."""

from __future__ import annotations

import asyncio
from typing import Generic, Protocol, TypeVar

from orchidwind.core.errors import PlatformError, PlatformVersionGone
from orchidwind.logs import log_event
from orchidwind.managed.ports import Changes, Listing, WatchedCollection

_FIRST_RETRY_SECONDS = 0.1
_LONGEST_RETRY_SECONDS = 0.5

Item = TypeVar("Item")
Followed = TypeVar("Followed", contravariant=True)


class CollectionFollower(Protocol[Followed]):
    """Takes what a watch brings."""

    def listed(self, listing: Listing[Followed]) -> None:
        """All items as of a revision; what is missing is gone."""

    def changed(self, changes: Changes[Followed]) -> None:
        """Later changes."""


class CollectionWatch(Generic[Item]):
    """Keeps a follower up to date; goes on through outages of the store."""

    def __init__(
        self,
        name: str,
        source: WatchedCollection[Item],
        follower: CollectionFollower[Item],
        gather_seconds: float = 0.0,
    ) -> None:
        """`gather_seconds` after a change is the wait for more, where it need not be known at once.

        When many processes start together, each of them would else ask again for each of them.
        """
        self._gather_seconds = gather_seconds
        self._name = name
        self._source = source
        self._follower = follower
        self._revision: int | None = None
        self._connected = False
        self._retry = _FIRST_RETRY_SECONDS
        self._failed_attempts = 0
        self._loop = asyncio.get_running_loop()
        self._answered_at = self._loop.time()

    @property
    def age(self) -> float:
        """Seconds since the store last answered for this collection, or since the start."""
        return self._loop.time() - self._answered_at

    async def run(self) -> None:
        """Follow until cancelled."""
        while True:
            try:
                await self._step()
            except PlatformVersionGone:
                log_event("watch_history_gone", collection=self._name, revision=self._revision)
                self._revision = None
            except PlatformError as error:
                await self._after_error(error)

    async def _step(self) -> None:
        if self._revision is None:
            listing = await self._source.list()
            self._note_connected(listing.revision)
            self._revision = listing.revision
            self._follower.listed(listing)
            await asyncio.sleep(self._gather_seconds)
            return
        changes = await self._source.watch(self._revision)
        self._note_connected(changes.revision)
        self._revision = max(self._revision, changes.revision)
        self._follower.changed(changes)
        if self._gather_seconds and (changes.changed or changes.gone):
            await asyncio.sleep(self._gather_seconds)

    def _note_connected(self, revision: int) -> None:
        self._retry = _FIRST_RETRY_SECONDS
        if not self._connected:
            self._connected = True
            log_event(
                "watch_connected",
                collection=self._name,
                revision=revision,
                silent_seconds=round(self.age, 3),
                failed_attempts=self._failed_attempts,
            )
        self._failed_attempts = 0
        self._answered_at = self._loop.time()

    async def _after_error(self, error: PlatformError) -> None:
        self._connected = False
        self._failed_attempts += 1
        if _is_power_of_two(self._failed_attempts):
            log_event(
                "watch_lost" if self._failed_attempts == 1 else "watch_attempt_failed",
                collection=self._name,
                revision=self._revision,
                attempt=self._failed_attempts,
                silent_seconds=round(self.age, 3),
                reason=str(error),
            )
        await asyncio.sleep(self._retry)
        self._retry = min(self._retry * 2, _LONGEST_RETRY_SECONDS)


def _is_power_of_two(count: int) -> bool:
    """Which attempts are logged: a long outage must not fill the log."""
    return count & (count - 1) == 0

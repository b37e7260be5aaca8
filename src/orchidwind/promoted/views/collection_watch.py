"""Follows a collection of the store: lists it once, then takes changes as they come.

For: `followed_views`, which has one watch a view. Owns the calls under way and their repetition.
A watch without an answer looks the same whether nothing has changed or the store never read it. So
each view has an age: as it grows, other proxies are asked whether it is still current, and in the
end the store is read anew, whatever was waited for. Relies on `promoted.core.freshness` for when
each of this is due, and on `held_view` for what is held.
"""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Awaitable
from typing import Generic, TypeVar

from orchidwind.promoted.core.freshness import (
    MOST_CALLS,
    SHORTEST_CHECK_SECONDS,
    FollowTimes,
    RetryPause,
    SourceRole,
)
from orchidwind.promoted.core.store_revision import StoreRevision
from orchidwind.promoted.ports import WatchedCollection
from orchidwind.promoted.views.hedged_call import Arrival, hedged
from orchidwind.promoted.views.held_view import CollectionFollower, HeldView
from orchidwind.promoted.views.second_path import ReportedView, SecondPath
from orchidwind.shared.core.errors import PlatformError, PlatformVersionGone
from orchidwind.shared.logs import is_power_of_two
from orchidwind.shared.silence import ConnectionKind, OnSilent, SilentConnection, log_silent

Item = TypeVar("Item")
Answer = TypeVar("Answer")


class _ReadAnew(PlatformError):
    """The store is read anew: nothing showed that the view is current, or that it is not."""


class CollectionWatch(Generic[Item]):
    """Keeps a follower up to date; goes on through outages of the store."""

    def __init__(
        self,
        name: str,
        source: WatchedCollection[Item],
        follower: CollectionFollower[Item],
        times: FollowTimes,
        gather_seconds: float = 0.0,
        second_path: SecondPath[Item] | None = None,
        on_silent: OnSilent = log_silent,
    ) -> None:
        """`gather_seconds` after a change is the wait for more, where it need not be known at once.

        When many processes start together, each of them would else ask again for each of them.
        """
        self.name = name
        self._source = source
        self._times = times
        self._gather_seconds = gather_seconds
        self._second_path = second_path
        self._on_silent = on_silent
        self._view = HeldView(name, follower, times)
        self._rule = self._view.rule
        self._read_next = True
        self._connected = False
        self._pause = RetryPause(times)
        self._failed_attempts = 0
        self._step_under_way: asyncio.Task[None] | None = None
        # Since when the store is read without an answer; None where it is not being read.
        self._reading_since: float | None = None
        self._loop = asyncio.get_running_loop()

    @property
    def age(self) -> float:
        """Seconds since the view was last known to be current, or since the start."""
        return self._view.age

    @property
    def confirmed_at(self) -> float:
        """When the view was last known to be current, by the loop's clock; never: -inf."""
        return self._loop.time() - self.age if self._view.known else float("-inf")

    @property
    def revision(self) -> StoreRevision:
        """The view is whole as of this revision, or `NOTHING_HELD`."""
        return self._view.revision

    @property
    def changed_revision(self) -> StoreRevision:
        """The view was last different before this revision."""
        return self._view.changed_revision

    @property
    def evidence(self) -> str:
        """What is held, how old it is, and who confirmed it last; for the log."""
        return self._view.evidence

    async def run(self) -> None:
        """Follow until cancelled."""
        while True:
            try:
                await self._interruptible_step()
            except PlatformVersionGone:
                self._view.log("watch_history_gone")
                self._read_next = True
            except _ReadAnew as error:
                self._view.log("watch_given_up", reason=error)
                self._read_next = True
            except PlatformError as error:
                await self._after_error(error)
            except Exception as error:  # a fault of this program must not end the following
                self._view.log("watch_failed_unexpectedly", logging.ERROR, reason=repr(error))
                await self._after_error(PlatformError(repr(error)))

    def store_came_back(self) -> None:
        """The store is known to have come back from an older copy: read it anew now.

        A call under way would be waited for, or its answer say nothing of the copy. A proxy that
        does not watch the store leaves it to others: so not all read it at the same moment.
        """
        if self._rule.watch_wait(self._role) is None:
            return
        self._read_next = True
        if self._step_under_way is not None:
            self._step_under_way.cancel()

    async def _interruptible_step(self) -> None:
        self._step_under_way = asyncio.ensure_future(self._step())
        try:
            await self._step_under_way
        except asyncio.CancelledError:
            own = asyncio.current_task()
            if own is not None and own.cancelling():
                raise
        finally:
            self._step_under_way = None

    async def refresh(self) -> bool:
        """Read the store now, beside what is under way; whether it answered."""
        try:
            await self._read(Arrival())
        except PlatformError as error:
            self._view.log("view_not_refreshed", reason=error)
            return False
        return True

    async def _step(self) -> None:
        if self._read_next:
            await self._read_whole()
            return
        wait = self._rule.watch_wait(self._role)
        if wait is None:
            await self._live_on_others()
            return
        changed = await self._watch(wait)
        if self._gather_seconds and changed:
            await asyncio.sleep(self._gather_seconds)

    @property
    def _role(self) -> SourceRole:
        if self._second_path is None:
            return SourceRole.ALONE
        return SourceRole.READER if self._second_path.relied_upon() else SourceRole.RELYING

    # --- the store ----------------------------------------------------------------------------

    async def _read_whole(self) -> None:
        arrival = Arrival()
        if self._reading_since is None:
            self._reading_since = self._loop.time()
        await self._answered(self._read(arrival), arrival, may_be_old=True)
        self._read_next = False
        await asyncio.sleep(self._gather_seconds)

    async def _read(self, arrival: Arrival) -> None:
        sent_at = self._loop.time()
        limit = self._times.hedge_after * MOST_CALLS
        listing = await hedged(
            lambda: self._source.list(limit, arrival.note),
            self._times.hedge_after,
            arrival,
            self._outrun,
        )
        self._store_answered(listing.revision)
        self._view.take_listing(listing, sent_at)

    def _outrun(self, seconds: float) -> None:
        """A read was answered beside an older one that is silent."""
        kind, to = ConnectionKind.STORE, f"store/GET/{self.name}"
        decision = "a later call was answered"
        self._on_silent(SilentConnection(kind, to, seconds, seconds, 1, decision))

    async def _watch(self, wait: float) -> bool:
        """Wait for changes; whether there were any."""
        sent_at = self._loop.time()
        arrival = Arrival()
        limit = wait + self._times.answer_slack
        call = self._source.watch(self.revision, wait, limit, arrival.note)
        changes = await self._answered(call, arrival, may_be_old=False)
        told = bool(changes.changed or changes.gone)
        as_of = self._rule.watch_confirms(sent_at, self._loop.time(), wait, told)
        self._store_answered(changes.revision)
        self._view.take_changes(changes, as_of)
        return told

    async def _answered(
        self, call: Awaitable[Answer], arrival: Arrival, may_be_old: bool
    ) -> Answer:
        """Wait for a call; meanwhile ask others as the view grows old.

        Raises what the call raises, and _ReadAnew unless `may_be_old` or its answer is arriving.
        """
        task = asyncio.ensure_future(call)
        try:
            while not task.done():
                due_in = self._rule.check_due_in(self._loop.time(), self._role, may_be_old)
                await asyncio.wait({task}, timeout=due_in)
                if not task.done():
                    await self._check_beside(arrival, may_be_old)
            return await task
        finally:
            task.cancel()

    async def _check_beside(self, arrival: Arrival, may_be_old: bool) -> None:
        """Check the view while a call is under way; one that is arriving is not given up."""
        arriving = self._rule.answer_arriving(self._loop.time(), arrival.at)
        if arriving:
            self._reading_since = None
        await self._check(may_be_old or arriving)

    def _store_answered(self, revision: StoreRevision) -> None:
        self._pause.reset()
        if not self._connected:
            self._connected = True
            self._view.log(
                "watch_connected", revision=revision, failed_attempts=self._failed_attempts
            )
        self._failed_attempts = 0
        self._reading_since = None

    async def _after_error(self, error: PlatformError) -> None:
        self._read_next = True
        self._connected = False
        self._failed_attempts += 1
        if is_power_of_two(self._failed_attempts):
            event = "watch_lost" if self._failed_attempts == 1 else "watch_attempt_failed"
            self._view.log(event, attempt=self._failed_attempts, reason=error)
        await self._check(may_be_old=True)
        await asyncio.sleep(self._pause.seconds)
        self._pause.lengthen(self._role)

    # --- other proxies ------------------------------------------------------------------------

    async def _live_on_others(self) -> None:
        """Take confirmations and changes from others, until they rely on this proxy instead.

        Raises _ReadAnew where nobody confirmed the view for long, or one has a later one.
        """
        while (role := self._role) is SourceRole.RELYING:
            due_in = self._rule.check_due_in(self._loop.time(), role, may_be_old=False)
            await asyncio.sleep(due_in or SHORTEST_CHECK_SECONDS)
            await self._check(may_be_old=False)

    async def _check(self, may_be_old: bool) -> None:
        """Ask others where that is due; raises _ReadAnew where the store must be read."""
        knows_more = await self._ask_others()
        self._view.log_if_too_old()
        if may_be_old:
            return
        if knows_more:
            raise _ReadAnew(f"{knows_more} holds a later one")
        if self._rule.read_due(self._loop.time()):
            raise _ReadAnew("nothing showed that the view is still current")

    async def _ask_others(self) -> str:
        """Ask where that is due; who holds a later view and did not send it, or nobody."""
        now = self._loop.time()
        if self._second_path is None or self._rule.ask_due_in(now, self._role) != 0.0:
            return ""
        self._rule.asked(now)
        unserved = self._rule.store_unserved(now, self._reading_since)
        reported = await self._second_path.ask(self.revision, whole=unserved)
        if reported is None:
            return ""
        if reported.omitted:
            return reported.peer
        self._take_report(reported)
        return ""

    def _take_report(self, reported: ReportedView[Item]) -> None:
        listing = reported.listing
        if listing is None:
            self._view.confirm(reported.as_of, reported.peer, reported.revision)
            return
        now = self._loop.time()
        if not self._view.known and self._rule.first_view_outdated(now, reported.as_of):
            return
        if listing.revision > self.revision:
            self._view.log(
                "view_reported",
                peer=reported.peer,
                reported_revision=listing.revision,
                reported_age=round(now - reported.as_of, 3),
            )
        self._view.take_listing(listing, reported.as_of, reported.peer)

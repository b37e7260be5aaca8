"""Follows a collection of the store: lists it once, then watches for changes.

For: `followed_views`, which has one watch per view. Owns the calls in progress and their retries.
A watch that has no answer looks the same whether nothing has changed or the store never read the
request. Each view therefore has an age. As the age grows, other proxies are asked whether the view
is still current; finally the whole collection is read again, even while a call is pending. Relies
on `promoted.core.freshness` for when each step is due, and on `held_view` for the cached content.
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
from orchidwind.promoted.views.peer_source import PeerSource, ReportedView
from orchidwind.shared.core.errors import PlatformError, PlatformVersionGone
from orchidwind.shared.logs import is_power_of_two
from orchidwind.shared.silence import (
    ConnectionKind,
    OnSilent,
    SilentConnection,
    log_silent_connection,
)

Item = TypeVar("Item")
Answer = TypeVar("Answer")


class _FullReadNeeded(PlatformError):
    """The whole collection must be read again.

    Nothing confirmed the view for too long, or another proxy holds a later one.
    """


class CollectionWatch(Generic[Item]):
    """Keeps a follower up to date with a collection; continues through outages of the store."""

    def __init__(
        self,
        name: str,
        source: WatchedCollection[Item],
        follower: CollectionFollower[Item],
        times: FollowTimes,
        batch_seconds: float = 0.0,
        peer_source: PeerSource[Item] | None = None,
        on_silent: OnSilent = log_silent_connection,
    ) -> None:
        """`batch_seconds`: a delay between a change and the next call, to collect more changes.

        Without it, when many processes start together, each watcher would call the store again for
        each of them.
        """
        self.name = name
        self._source = source
        self._times = times
        self._batch_seconds = batch_seconds
        self._peer_source = peer_source
        self._on_silent = on_silent
        self._view = HeldView(name, follower, times)
        self._rule = self._view.rule
        self._full_read_due = True
        self._connected = False
        self._pause = RetryPause(times)
        self._failed_attempts = 0
        self._current_step: asyncio.Task[None] | None = None
        # When the full read started that the store has not answered yet; None: there is none.
        self._full_read_since: float | None = None
        self._loop = asyncio.get_running_loop()

    @property
    def age(self) -> float:
        """Seconds since the view was last known to be current, or since the start."""
        return self._view.age

    @property
    def confirmed_at(self) -> float:
        """When the view was last known to be current, on the loop's clock; -inf: never."""
        return self._loop.time() - self.age if self._view.known else float("-inf")

    @property
    def revision(self) -> StoreRevision:
        """The revision up to which the view is complete, or `NOTHING_HELD`."""
        return self._view.revision

    @property
    def changed_revision(self) -> StoreRevision:
        """The latest revision that brought a change of the content."""
        return self._view.changed_revision

    @property
    def evidence(self) -> str:
        """The revision held, its age and the last confirming source, as text for the log."""
        return self._view.evidence

    async def run(self) -> None:
        """Follow the collection until cancelled."""
        while True:
            try:
                await self._interruptible_step()
            except PlatformVersionGone:
                self._view.log("watch_history_gone")
                self._full_read_due = True
            except _FullReadNeeded as error:
                self._view.log("watch_given_up", reason=error)
                self._full_read_due = True
            except PlatformError as error:
                await self._after_error(error)
            except Exception as error:  # a bug in this process must not end the watch
                self._view.log("watch_failed_unexpectedly", logging.ERROR, reason=repr(error))
                await self._after_error(PlatformError(repr(error)))

    def on_store_restored(self) -> None:
        """Read the whole collection now: the store was restored from an older copy.

        A pending call is cancelled, as its answer may be long in coming or not reflect the restored
        copy. A proxy that does not watch the store does nothing and learns the content from other
        proxies, so that not all proxies read the store at the same moment.
        """
        if self._rule.watch_wait(self._role) is None:
            return
        self._full_read_due = True
        if self._current_step is not None:
            self._current_step.cancel()

    async def _interruptible_step(self) -> None:
        self._current_step = asyncio.ensure_future(self._step())
        try:
            await self._current_step
        except asyncio.CancelledError:
            own = asyncio.current_task()
            if own is not None and own.cancelling():
                raise
        finally:
            self._current_step = None

    async def refresh(self) -> bool:
        """Read the store now, in parallel to a pending call; return whether it answered."""
        try:
            await self._read(Arrival())
        except PlatformError as error:
            self._view.log("view_not_refreshed", reason=error)
            return False
        return True

    async def _step(self) -> None:
        if self._full_read_due:
            await self._full_read()
            return
        wait = self._rule.watch_wait(self._role)
        if wait is None:
            await self._follow_peers()
            return
        changed = await self._watch(wait)
        if self._batch_seconds and changed:
            await asyncio.sleep(self._batch_seconds)

    @property
    def _role(self) -> SourceRole:
        if self._peer_source is None:
            return SourceRole.ALONE
        return SourceRole.READER if self._peer_source.is_reader() else SourceRole.RELYING

    # --- the store ----------------------------------------------------------------------------

    async def _full_read(self) -> None:
        arrival = Arrival()
        if self._full_read_since is None:
            self._full_read_since = self._loop.time()
        await self._await_answer(self._read(arrival), arrival, may_be_old=True)
        self._full_read_due = False
        await asyncio.sleep(self._batch_seconds)

    async def _read(self, arrival: Arrival) -> None:
        sent_at = self._loop.time()
        limit = self._times.hedge_after * MOST_CALLS
        listing = await hedged(
            lambda: self._source.list(limit, arrival.note),
            self._times.hedge_after,
            arrival,
            self._report_silent_read,
        )
        self._store_answered(listing.revision)
        self._view.apply_listing(listing, sent_at)

    def _report_silent_read(self, seconds: float) -> None:
        """Report the connection of a read that stayed silent while a later read was answered."""
        kind, to = ConnectionKind.STORE, f"store/GET/{self.name}"
        decision = "a later call was answered"
        self._on_silent(SilentConnection(kind, to, seconds, seconds, 1, decision))

    async def _watch(self, wait: float) -> bool:
        """Wait up to `wait` seconds for changes and apply them; return whether there were any."""
        sent_at = self._loop.time()
        arrival = Arrival()
        limit = wait + self._times.answer_slack
        call = self._source.watch(self.revision, wait, limit, arrival.note)
        changes = await self._await_answer(call, arrival, may_be_old=False)
        has_changes = bool(changes.changed or changes.gone)
        as_of = self._rule.watch_confirms(sent_at, self._loop.time(), wait, has_changes)
        self._store_answered(changes.revision)
        self._view.apply_changes(changes, as_of)
        return has_changes

    async def _await_answer(
        self, call: Awaitable[Answer], arrival: Arrival, may_be_old: bool
    ) -> Answer:
        """Wait for a call and return its answer; ask other proxies meanwhile as the view grows old.

        Raises what the call raises. Also raises _FullReadNeeded if the view needs a full read,
        unless `may_be_old` or the answer is arriving.
        """
        task = asyncio.ensure_future(call)
        try:
            while not task.done():
                due_in = self._rule.check_due_in(self._loop.time(), self._role, may_be_old)
                await asyncio.wait({task}, timeout=due_in)
                if not task.done():
                    await self._check_during_call(arrival, may_be_old)
            return await task
        finally:
            task.cancel()

    async def _check_during_call(self, arrival: Arrival, may_be_old: bool) -> None:
        """Check the view while a call is pending; do not abort a call whose answer is arriving."""
        arriving = self._rule.answer_arriving(self._loop.time(), arrival.at)
        if arriving:
            self._full_read_since = None
        await self._check(may_be_old or arriving)

    def _store_answered(self, revision: StoreRevision) -> None:
        self._pause.reset()
        if not self._connected:
            self._connected = True
            self._view.log(
                "watch_connected", revision=revision, failed_attempts=self._failed_attempts
            )
        self._failed_attempts = 0
        self._full_read_since = None

    async def _after_error(self, error: PlatformError) -> None:
        self._full_read_due = True
        self._connected = False
        self._failed_attempts += 1
        if is_power_of_two(self._failed_attempts):
            event = "watch_lost" if self._failed_attempts == 1 else "watch_attempt_failed"
            self._view.log(event, attempt=self._failed_attempts, reason=error)
        await self._check(may_be_old=True)
        await asyncio.sleep(self._pause.seconds)
        self._pause.lengthen(self._role)

    # --- other proxies ------------------------------------------------------------------------

    async def _follow_peers(self) -> None:
        """Take confirmations and changes from other proxies, until this proxy becomes a reader.

        Raises _FullReadNeeded if no proxy confirmed the view in time, or one holds a later view
        and did not send it.
        """
        while (role := self._role) is SourceRole.RELYING:
            due_in = self._rule.check_due_in(self._loop.time(), role, may_be_old=False)
            await asyncio.sleep(due_in or SHORTEST_CHECK_SECONDS)
            await self._check(may_be_old=False)

    async def _check(self, may_be_old: bool) -> None:
        """Ask other proxies if that is due.

        Raises _FullReadNeeded if the whole collection must be read again, unless `may_be_old`.
        """
        newer_peer = await self._ask_peers()
        self._view.log_if_too_old()
        if may_be_old:
            return
        if newer_peer:
            raise _FullReadNeeded(f"{newer_peer} holds a later view")
        if self._rule.read_due(self._loop.time()):
            raise _FullReadNeeded("no source confirmed the view in time")

    async def _ask_peers(self) -> str:
        """Ask other proxies if that is due.

        Returns the name of a proxy that holds a later view and did not send it, or "".
        """
        now = self._loop.time()
        if self._peer_source is None or self._rule.ask_due_in(now, self._role) != 0.0:
            return ""
        self._rule.asked(now)
        unserved = self._rule.store_unserved(now, self._full_read_since)
        reported = await self._peer_source.ask(self.revision, whole=unserved)
        if reported is None:
            return ""
        if reported.omitted:
            return reported.peer
        self._apply_report(reported)
        return ""

    def _apply_report(self, reported: ReportedView[Item]) -> None:
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
        self._view.apply_listing(listing, reported.as_of, reported.peer)

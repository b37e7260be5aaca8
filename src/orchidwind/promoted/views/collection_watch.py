"""Follows a collection of the store: lists it once, then takes changes as they come.

A watch without an answer looks the same whether nothing has changed or the store never read it. So
each view has an age (`promoted.core.freshness`): as it grows, other proxies are asked whether it is
still current, and in the end the store is read anew, whatever was waited for.
"""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Awaitable
from dataclasses import dataclass
from typing import Generic, Protocol, TypeVar

from orchidwind.promoted.core.freshness import FollowTimes, ViewAge
from orchidwind.promoted.ports import Changes, Listing, WatchedCollection
from orchidwind.promoted.views.hedged_call import MOST_CALLS, Arrival, hedged
from orchidwind.shared.core.errors import PlatformError, PlatformVersionGone
from orchidwind.shared.logs import log_event
from orchidwind.shared.silence import ConnectionKind, OnSilent, SilentConnection, log_silent

_FIRST_RETRY_SECONDS = 0.1
# A check that finds nothing to do must not be repeated without a pause.
_SHORTEST_CHECK_SECONDS = 0.01
_STORE = "store"

Item = TypeVar("Item")
Taken = TypeVar("Taken", contravariant=True)
Answer = TypeVar("Answer")


class CollectionFollower(Protocol[Taken]):
    """Takes what a watch brings."""

    def listed(self, listing: Listing[Taken]) -> bool:
        """All items as of a revision; what is missing is gone.

        Whether they differ from what was held, so that others have to be told.
        """

    def changed(self, changes: Changes[Taken]) -> None:
        """Later changes."""


@dataclass(frozen=True, slots=True)
class ReportedView(Generic[Item]):
    """What another proxy told of its view, which was current at `as_of` of this one's clock.

    `listing` is None where the asking proxy's own view holds the same, or with `omitted`, where the
    other's is later and too long to be told unasked.
    """

    peer: str
    as_of: float
    listing: Listing[Item] | None
    omitted: bool = False


class SecondPath(Protocol[Item]):
    """Other proxies that follow the same collection."""

    def relied_upon(self) -> bool:
        """Whether others ask this proxy, so that it must not rely on them in its turn."""

    async def ask(self, revision: int, whole: bool) -> ReportedView[Item] | None:
        """Ask for what is later than a revision; None where nobody knows.

        With `whole` a long content is wanted, too.
        """


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
        self._follower = follower
        self._times = times
        self._gather_seconds = gather_seconds
        self._second_path = second_path
        self._on_silent = on_silent
        # The view is whole as of this revision; it was last different before `changed_revision`.
        self.revision = -1
        self.changed_revision = -1
        self._read_next = True
        self._connected = False
        self._logged_too_old = False
        self._retry = _FIRST_RETRY_SECONDS
        self._failed_attempts = 0
        # Since when the store is read without an answer; None where it is not being read.
        self._unserved_since: float | None = None
        self._loop = asyncio.get_running_loop()
        self._age = ViewAge(times, self._loop.time())

    @property
    def age(self) -> float:
        """Seconds since the view was last known to be current, or since the start."""
        return self._age.age(self._loop.time())

    async def run(self) -> None:
        """Follow until cancelled."""
        while True:
            try:
                await self._step()
            except PlatformVersionGone:
                self._log("watch_history_gone")
                self._read_next = True
            except _ReadAnew as error:
                self._log("watch_given_up", reason=error)
                self._read_next = True
            except PlatformError as error:
                await self._after_error(error)
            except Exception as error:  # a fault of this program must not end the following
                self._log("watch_failed_unexpectedly", logging.ERROR, reason=repr(error))
                await self._after_error(PlatformError(repr(error)))

    async def refresh(self) -> bool:
        """Read the store now, beside what is under way; whether it answered."""
        try:
            await self._read(Arrival())
        except PlatformError as error:
            self._log("view_not_refreshed", reason=error)
            return False
        return True

    async def _step(self) -> None:
        if self._read_next:
            arrival = Arrival()
            if self._unserved_since is None:
                self._unserved_since = self._loop.time()
            await self._answered(self._read(arrival), arrival)
            self._read_next = False
            await asyncio.sleep(self._gather_seconds)
            return
        if self._relies and self._times.relying_wait is None:
            await self._live_on_others()
            return
        changed = await self._watch()
        if self._gather_seconds and changed:
            await asyncio.sleep(self._gather_seconds)

    @property
    def _relies(self) -> bool:
        """Whether other proxies confirm the view to this one, and none asks it."""
        return self._second_path is not None and not self._second_path.relied_upon()

    async def _live_on_others(self) -> None:
        """Take confirmations and changes from others, until they rely on this proxy instead.

        Raises _ReadAnew where nobody confirmed the view for long, or one tells of a later one.
        """
        while self._relies:
            await asyncio.sleep(self._check_due_in(may_be_old=False) or _SHORTEST_CHECK_SECONDS)
            await self._check(may_be_old=False)

    async def _read(self, arrival: Arrival) -> None:
        sent_at = self._loop.time()
        limit = self._times.hedge_after * MOST_CALLS
        listing = await hedged(
            lambda: self._source.list(limit, arrival.note),
            self._times.hedge_after,
            arrival,
            self._outrun,
        )
        self._take_listing(listing, sent_at, _STORE)

    def _outrun(self, seconds: float) -> None:
        """A read was answered beside an older one that is silent."""
        kind, to = ConnectionKind.STORE, f"{_STORE}/GET/{self.name}"
        decision = "a later call was answered"
        self._on_silent(SilentConnection(kind, to, seconds, seconds, 1, decision))

    async def _watch(self) -> bool:
        """Wait for changes; whether there were any."""
        relying_wait = self._times.relying_wait if self._relies else None
        wait = self._times.watch_wait if relying_wait is None else relying_wait
        sent_at = self._loop.time()
        arrival = Arrival()
        limit = wait + self._times.answer_slack
        call = self._source.watch(self.revision, wait, limit, arrival.note)
        changes = await self._answered(call, arrival, may_be_old=False)
        # An answer that came early may have been made at any time since the call was sent.
        waited_out = self._loop.time() - sent_at >= wait
        self._take_changes(changes, sent_at + wait if waited_out else sent_at)
        return bool(changes.changed or changes.gone)

    async def _answered(
        self, call: Awaitable[Answer], arrival: Arrival, may_be_old: bool = True
    ) -> Answer:
        """Wait for a call; meanwhile ask others as the view grows old.

        Raises what the call raises, and _ReadAnew unless `may_be_old` or its answer is arriving.
        """
        task = asyncio.ensure_future(call)
        try:
            while not task.done():
                await asyncio.wait({task}, timeout=self._check_due_in(may_be_old))
                if not task.done():
                    if self._loop.time() - arrival.at < self._times.hedge_after:
                        self._unserved_since = None
                        await self._check(may_be_old=True)
                    else:
                        await self._check(may_be_old)
            return await task
        finally:
            task.cancel()

    def _check_due_in(self, may_be_old: bool) -> float | None:
        now = self._loop.time()
        due = [self._ask_due_in(now)]
        if not may_be_old:
            due.append(self._age.read_due_in(now))
        times = [seconds for seconds in due if seconds is not None]
        return max(min(times), _SHORTEST_CHECK_SECONDS) if times else None

    def _ask_due_in(self, now: float) -> float | None:
        if self._second_path is None:
            return None
        first = self._times.ask_every or 0.0
        if self._second_path.relied_upon():
            first = self._times.watch_wait + self._times.answer_slack
        return self._age.ask_due_in(now, first)

    async def _check(self, may_be_old: bool) -> None:
        """Ask others where that is due; raises _ReadAnew where the store must be read."""
        knows_more = await self._ask_others()
        now = self._loop.time()
        self._log_if_too_old(now)
        if may_be_old:
            return
        if knows_more:
            raise _ReadAnew(f"{knows_more} holds a later one")
        if self._age.read_due_in(now) == 0.0:
            raise _ReadAnew("nothing showed that the view is still current")

    async def _ask_others(self) -> str:
        """Ask where that is due; who holds a later view and did not tell it, or nobody."""
        now = self._loop.time()
        if self._second_path is None or self._ask_due_in(now) != 0.0:
            return ""
        self._age.asked(now)
        told = await self._second_path.ask(self.revision, whole=self._unserved(now))
        if told is None:
            return ""
        if told.omitted:
            return told.peer
        if told.listing is None:
            self._confirmed(told.as_of)
        elif not self._outdated(told):
            self._take_listing(told.listing, told.as_of, told.peer)
        return ""

    def _unserved(self, now: float) -> bool:
        """Whether the store does not serve this proxy: others must send what is long, too."""
        since = self._unserved_since
        return since is not None and now - since > self._times.hedge_after

    def _outdated(self, told: ReportedView[Item]) -> bool:
        """Whether a first view is older than the promise allows: then the store is waited for."""
        bound = self._times.bound
        first = self.revision < 0
        return first and bound is not None and self._loop.time() - told.as_of > bound

    # --- what is known --------------------------------------------------------------------------

    def _take_listing(self, listing: Listing[Item], as_of: float, source: str) -> None:
        if source == _STORE:
            self._note_connected(listing.revision)
        elif listing.revision > self.revision:
            reported_age = round(self._loop.time() - as_of, 3)
            self._log(
                "view_reported",
                peer=source,
                reported_revision=listing.revision,
                reported_age=reported_age,
            )
        # An answer that was overtaken by a later one tells nothing new.
        if listing.revision >= self.revision:
            if self._follower.listed(listing) or self.revision < 0:
                self.changed_revision = listing.revision
            self.revision = listing.revision
        self._confirmed(as_of)

    def _take_changes(self, changes: Changes[Item], as_of: float) -> None:
        self._note_connected(changes.revision)
        if changes.revision >= self.revision:
            self.revision = changes.revision
            if changes.changed or changes.gone:
                self.changed_revision = changes.revision
            self._follower.changed(changes)
        self._confirmed(as_of)

    def _confirmed(self, as_of: float) -> None:
        self._age.confirmed(as_of)
        if self._logged_too_old and not self._age.too_old(self._loop.time()):
            self._logged_too_old = False
            self._log("view_current_again")

    def _log_if_too_old(self, now: float) -> None:
        if self._logged_too_old or not self._age.too_old(now):
            return
        self._logged_too_old = True
        self._log(
            "view_too_old",
            logging.WARNING,
            bound=self._times.bound,
            decision="serve on, as nobody reached knows better",
        )

    def _log(self, event: str, level: int = logging.INFO, **fields: object) -> None:
        """Log an event with what this view is and how old."""
        log_event(
            event,
            level=level,
            collection=self.name,
            held_revision=self.revision,
            age=round(self.age, 3),
            **fields,
        )

    def _note_connected(self, revision: int) -> None:
        self._retry = _FIRST_RETRY_SECONDS
        if not self._connected:
            self._connected = True
            self._log("watch_connected", revision=revision, failed_attempts=self._failed_attempts)
        self._failed_attempts = 0
        self._unserved_since = None

    async def _after_error(self, error: PlatformError) -> None:
        self._read_next = True
        self._connected = False
        self._failed_attempts += 1
        if _is_power_of_two(self._failed_attempts):
            event = "watch_lost" if self._failed_attempts == 1 else "watch_attempt_failed"
            self._log(event, attempt=self._failed_attempts, reason=error)
        await self._check(may_be_old=True)
        await asyncio.sleep(self._retry)
        longest = self._times.relying_pause if self._relies else self._times.longest_pause
        self._retry = min(self._retry * 2, max(longest, _FIRST_RETRY_SECONDS))


def _is_power_of_two(count: int) -> bool:
    """Which attempts are logged: a long outage must not fill the log."""
    return count & (count - 1) == 0

"""Follows which proxies hold shares of the tenants' quotas, and writes changes of the holders.

For: `tenancy`, which has it follow a view. Owns this proxy's copy of the object in the store that
names the holders. Relies on `core.share_changes` for what to write when, on `core.own_share` for
what this proxy may use, on a store that writes by compare-and-swap, and on `QuotaService`, which
fills the token buckets by the share.
"""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable, Collection

from msgspec import Struct

from orchidwind.promoted.core.own_share import OwnShare
from orchidwind.promoted.core.quota_shares import QuotaShares
from orchidwind.promoted.core.share_changes import ShareChanges, Surroundings
from orchidwind.promoted.core.share_status import ShareStatus, share_status
from orchidwind.promoted.core.store_revision import StoreRevision
from orchidwind.promoted.ports import Changes, Listing, QuotaShareStore
from orchidwind.promoted.quotas.quota_service import QuotaService
from orchidwind.shared.core.errors import PlatformConflict, PlatformError
from orchidwind.shared.core.quota import HeldShare
from orchidwind.shared.logs import is_power_of_two, log_event
from orchidwind.shared.task_set import TaskSet

# Interval at which it is checked whether the holders must change, seconds. A share that comes a
# little late refuses no operation: other proxies lend their tokens.
_CHECK_SECONDS = 0.1
# Pauses after a write that failed, seconds; each is twice as long as the one before.
_FIRST_WRITE_PAUSE_SECONDS = 0.25
_LONGEST_WRITE_PAUSE_SECONDS = 2.0

# Pauses before a proxy that has not confirmed is asked again, seconds; each is twice as long as the
# one before. Most have not read the version yet.
_FIRST_QUESTION_PAUSE_SECONDS = 0.1
_LONGEST_QUESTION_PAUSE_SECONDS = 0.4

AskConfirmation = Callable[[str, StoreRevision], Awaitable[bool]]


class _Question(Struct):
    """The question for a proxy's confirmation of one version; asked `failed` times in vain.

    It is not asked again before the time `not_before`, nor while an answer is awaited.
    """

    revision: StoreRevision
    failed: int = 0
    pause: float = _FIRST_QUESTION_PAUSE_SECONDS
    not_before: float = 0.0
    awaited: bool = False


class ShareKeeper:
    """Keeps the holders of quota shares up to date. Times are seconds of the event loop's clock."""

    def __init__(
        self,
        name: str,
        store: QuotaShareStore,
        service: QuotaService,
        wanted: Callable[[], Collection[str]],
        unreachable: Callable[[Collection[str]], set[str]],
        on_known: Callable[[], None],
        ask_confirmation: AskConfirmation,
    ) -> None:
        """`wanted` returns the proxies that are to hold shares; empty while they are not known.

        `unreachable` returns which of the given proxies do not answer. `on_known` is called
        whenever the object was read from the store. `ask_confirmation` asks another proxy whether
        it uses no share from before a revision, and returns False if it does not say so.
        """
        # Whether the object was read since the start.
        self.known = False
        self._listed = asyncio.Event()
        self._on_known = on_known
        self._name = name
        self._store = store
        self._service = service
        self._wanted = wanted
        self._unreachable = unreachable
        self._loop = asyncio.get_running_loop()
        self._changes = ShareChanges(name, self._loop.time())
        self._confirmed_at = lambda: float("-inf")
        self._own_share = OwnShare(name, self._loop.time())
        self._ask_confirmation = ask_confirmation
        # By the proxy that is asked.
        self._questions: dict[str, _Question] = {}
        self._tasks = TaskSet()
        # When the previous share was last confirmed, while the service uses that one.
        self._previous_confirmed_at: float | None = None
        self._used = HeldShare(0.0, 0.0, float("-inf"))
        self._read_again: Callable[[], Awaitable[bool]] | None = None
        self._write_pause = _FIRST_WRITE_PAUSE_SECONDS
        self._lost: set[str] = set()
        self._checked_at = self._loop.time()
        # For how long no share of the quotas was in force here or at a reachable proxy, seconds.
        self.seconds_without_share = 0.0
        service.use_shares(self)
        service.set_confirmation_time(self._share_confirmed_at)

    @property
    def held(self) -> QuotaShares:
        """The object as last read or written by this proxy."""
        return self._changes.held

    def use_view(
        self, confirmed_at: Callable[[], float], read_again: Callable[[], Awaitable[bool]]
    ) -> None:
        """Set the functions of the followed view.

        `confirmed_at` returns when the object was last known to be current; `read_again` reads it
        from the store now.
        """
        self._confirmed_at = confirmed_at
        self._read_again = read_again

    def listed(self, listing: Listing[QuotaShares]) -> bool:
        """Apply a fresh read of the object. Returns whether it differs from the held copy."""
        self.known = True
        self._listed.set()
        before = self.held
        for shares in listing.items:
            self._apply(shares)
        if not listing.items:
            self._apply(QuotaShares(revision=StoreRevision.of(listing.revision.era, 0)))
        self._on_known()
        return self.held != before

    def changed(self, changes: Changes[QuotaShares]) -> None:
        """Apply changes of the object."""
        for shares in changes.changed:
            self._apply(shares)

    def _apply(self, shares: QuotaShares) -> None:
        """Hold this version of the object, unless it is older than the held one."""
        if shares.revision < self.held.revision or shares == self.held:
            return
        now = self._loop.time()
        self._own_share.learned(shares, now, self._confirmed_at())
        self._changes.learned(shares, now)
        self._use_share(now)
        log_event(
            "quota_shares",
            holders=",".join(shares.holders),
            following=",".join(shares.following),
            early_passed=shares.early_passed,
            late_kept=shares.late_kept,
            share=round(shares.whole_share_of(self._name), 3),
            revision=shares.revision,
        )

    # --- The share of this proxy --------------------------------------------------------------

    def _use_share(self, now: float) -> None:
        """Have the service use what this proxy may use of the quotas now."""
        used = self._own_share.in_use(now, self._confirmed_at())
        self._used = used
        previous = self._own_share.previous
        self._previous_confirmed_at = None if previous is None else previous.confirmed_at
        self._service.hold(used)

    def _share_confirmed_at(self) -> float:
        """When the share that the service uses was last known to be in force."""
        kept = self._previous_confirmed_at
        return self._confirmed_at() if kept is None else kept

    def _update_share(self, now: float) -> None:
        """Use another share if one is in force by now.

        The present one once more of it is in force than of the previous one, or once it is known
        to be from after the start.
        """
        used = self._own_share.in_use(now, self._confirmed_at())
        before = self._used
        if (used.early, used.late) != (before.early, before.late) or (
            self._own_share.previous is None and self._previous_confirmed_at is not None
        ):
            self._use_share(now)

    def gives_up_previous(self, revision: StoreRevision) -> bool:
        """Use no share from before this revision any more; False if another one is held."""
        if not self._own_share.gives_up_previous(revision):
            return False
        self._use_share(self._loop.time())
        log_event("quota_share_confirmed", revision=revision, share=round(self._used.whole, 3))
        return True

    def share_of(self, proxy: str) -> float:
        """The share of each quota that a proxy holds, 0 to 1."""
        return self.held.whole_share_of(proxy)

    def status(self) -> ShareStatus:
        """How this proxy stands with its own share."""
        held = self.held if self.known else None
        now = self._loop.time()
        used = self._own_share.in_use(now, self._confirmed_at())
        return share_status(self._name, held, used, self._lost, now)

    def seconds_to_share(self) -> float | None:
        """Seconds until a change of the holders gives out a part of the quotas; None: unknown."""
        if not self.known:
            return 0.0  # reading them takes some milliseconds
        return self._changes.seconds_to_share(self._loop.time())

    # --- Changes of the holders ---------------------------------------------------------------

    async def run(self) -> None:
        """Write changes of the holders whenever it is this proxy's turn; runs until cancelled."""
        await self._listed.wait()
        while True:
            following = self._check()
            if following is not None:
                await self._write(following)
            await asyncio.sleep(_CHECK_SECONDS)

    def _check(self) -> QuotaShares | None:
        """Bring the share up to date; return the object that this proxy is to write now."""
        wanted = tuple(sorted(self._wanted()))
        self._lost = self._unreachable({*self.held.holders, *self.held.following, *wanted})
        now = self._loop.time()
        self._update_share(now)
        if self._service.share_in_force() == 0 and self.status().reachable == 0:
            self.seconds_without_share += now - self._checked_at
        self._checked_at = now
        around = Surroundings(wanted, self._lost)
        for holder in self._changes.to_ask(now, around):
            self._begin_asking(holder)
        return self._changes.next_write(now, around)

    def _begin_asking(self, holder: str) -> None:
        """Get the confirmation of a holder, of the version that is held now."""
        revision = self.held.revision
        if holder == self._name:
            if self.gives_up_previous(revision):
                self._changes.confirmed(holder, revision)
            return
        question = self._questions.get(holder)
        if question is None or question.revision != revision:
            question = self._questions[holder] = _Question(revision)
        if not question.awaited and self._loop.time() >= question.not_before:
            question.awaited = True
            self._tasks.start(self._ask(holder, question))

    async def _ask(self, holder: str, question: _Question) -> None:
        try:
            if await self._ask_confirmation(holder, question.revision):
                self._changes.confirmed(holder, question.revision)
            else:
                self._ask_later(holder, question)
        finally:
            question.awaited = False

    def _ask_later(self, holder: str, question: _Question) -> None:
        question.failed += 1
        question.not_before = self._loop.time() + question.pause
        question.pause = min(question.pause * 2, _LONGEST_QUESTION_PAUSE_SECONDS)
        if is_power_of_two(question.failed):
            log_event(
                "quota_share_asked_again",
                peer=holder,
                revision=question.revision,
                failed=question.failed,
            )

    def close(self) -> None:
        """Stop asking for confirmations."""
        self._tasks.cancel()

    async def _write(self, shares: QuotaShares) -> None:
        try:
            self._apply(await self._store.write(shares, create=not shares.exists))
        except PlatformConflict as error:
            log_event("quota_shares_not_written", reason=str(error))
            if self._read_again is not None:
                await self._read_again()
        except PlatformError as error:
            log_event("quota_shares_not_written", reason=str(error))
            await asyncio.sleep(self._write_pause)
            self._write_pause = min(self._write_pause * 2, _LONGEST_WRITE_PAUSE_SECONDS)
        else:
            self._write_pause = _FIRST_WRITE_PAUSE_SECONDS

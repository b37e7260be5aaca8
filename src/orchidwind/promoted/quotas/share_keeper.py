"""Follows which proxies hold shares of the tenants' quotas, and makes the home proxies the holders.

For: `tenancy`, which has it follow a view. Owns this proxy's copy of the object in the store that
names the holders. Relies on `core.quota_shares` for what to write next, on a store that writes by
compare-and-swap, and on `QuotaService`, which fills the token buckets by the share.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Collection

from orchidwind.promoted.core.quota_shares import QuotaShares, next_shares
from orchidwind.promoted.core.store_revision import StoreRevision
from orchidwind.promoted.ports import Changes, Listing, QuotaShareStore
from orchidwind.promoted.quotas.quota_service import QuotaService
from orchidwind.shared.core.errors import PlatformError
from orchidwind.shared.logs import log_event

# Interval at which it is checked whether the holders must change, seconds. A share that comes a
# little late refuses no operation: other proxies lend their tokens.
_CHECK_SECONDS = 0.1
# How long the set of home proxies must stay the same before it replaces other holders, seconds.
# While proxies start, each sees the others appear one by one. The first holders are named at once.
_UNCHANGED_SECONDS = 1.5
# The first of the wanted holders by name writes the change. Each further one writes this many
# seconds after the one before it, if those before it have not written.
_TURN_SECONDS = 2.0


class ShareKeeper:
    """Keeps the holders of quota shares up to date. Times are seconds of the event loop's clock."""

    def __init__(
        self,
        name: str,
        store: QuotaShareStore,
        service: QuotaService,
        wanted: Callable[[], Collection[str]],
        on_known: Callable[[], None],
    ) -> None:
        """`wanted` returns the proxies that are to hold shares; empty while they are not known.

        `on_known` is called whenever the object was read from the store.
        """
        # Whether the object was read since the start.
        self.known = False
        self._listed = asyncio.Event()
        self._on_known = on_known
        self.held = QuotaShares()
        self._name = name
        self._store = store
        self._service = service
        self._wanted = wanted
        self._loop = asyncio.get_running_loop()
        self._held_since = self._loop.time()
        self._last_wanted: tuple[str, ...] = ()
        self._wanted_since = self._loop.time()
        service.use_shares(self)

    def share_of(self, proxy: str) -> float:
        """The share of each quota that a proxy holds, 0 to 1."""
        return self.held.share_of(proxy)

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
        if shares.revision < self.held.revision:
            return
        if shares == self.held:
            return
        changed = (shares.holders, shares.following) != (self.held.holders, self.held.following)
        self.held = shares
        if changed:
            self._held_since = self._loop.time()
            self._service.set_share(shares.share_of(self._name))
            log_event(
                "quota_shares",
                holders=",".join(shares.holders),
                following=",".join(shares.following),
                share=round(shares.share_of(self._name), 3),
                revision=shares.revision,
            )

    async def run(self) -> None:
        """Write changes of the holders whenever it is this proxy's turn; runs until cancelled."""
        await self._listed.wait()
        while True:
            following = self._next_write()
            if following is not None:
                await self._write(following)
            await asyncio.sleep(_CHECK_SECONDS)

    def _next_write(self) -> QuotaShares | None:
        """The object that this proxy is to write now; None if it is to write nothing."""
        wanted = tuple(sorted(self._wanted()))
        now = self._loop.time()
        if wanted != self._last_wanted:
            self._last_wanted, self._wanted_since = wanted, now
        if self._name not in wanted:
            return None
        turn_delay = wanted.index(self._name) * _TURN_SECONDS
        settle_time = _UNCHANGED_SECONDS if self.held.holders else 0.0
        if now - self._wanted_since < settle_time + turn_delay:
            return None
        return next_shares(self.held, wanted, now - self._held_since - turn_delay)

    async def _write(self, shares: QuotaShares) -> None:
        try:
            self._apply(await self._store.write(shares, create=not shares.exists))
        except (
            PlatformError
        ) as error:  # also a conflict: the watch then delivers the present object
            log_event("quota_shares_not_written", reason=str(error))

"""Follows which proxies hold shares of the tenants' quotas, and has the homes hold them.

For: `proxy_runtime`, as the follower of a view. Owns what this proxy knows of the object that names
the holders. Relies on `core.quota_shares` for what is written next, on a store that writes by
compare-and-put, and on `QuotaService`, which fills buckets by the share.
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

# Seconds between two looks at whether the holders are to change. Shares that are a little late
# cost nobody anything: others lend.
_CHECK_SECONDS = 0.1
# The homes have been the same for so many seconds before they follow other holders: as proxies
# start, each sees the others come one after the other. The first holders are named at once.
_UNCHANGED_SECONDS = 1.5
# The first of the wanted holders writes; each further one writes so many seconds later, where those
# before it have not.
_TURN_SECONDS = 2.0


class ShareKeeper:
    """Times are in seconds of the loop's clock."""

    def __init__(
        self,
        name: str,
        store: QuotaShareStore,
        service: QuotaService,
        wanted: Callable[[], Collection[str]],
        on_known: Callable[[], None],
    ) -> None:
        """`wanted` gives the proxies that are to hold shares; none while that is not known.

        `on_known` is called each time that the object was read.
        """
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

    def listed(self, listing: Listing[QuotaShares]) -> bool:
        """The object as it is, read freshly; whether it differs from what was held."""
        self.known = True
        self._listed.set()
        before = self.held
        for shares in listing.items:
            self._take(shares)
        if not listing.items:
            self._take(QuotaShares(revision=StoreRevision.of(listing.revision.era, 0)))
        self._on_known()
        return self.held != before

    def changed(self, changes: Changes[QuotaShares]) -> None:
        """A later one."""
        for shares in changes.changed:
            self._take(shares)

    def _take(self, shares: QuotaShares) -> None:
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
        """Write what is to be changed, when it is this proxy's turn."""
        await self._listed.wait()
        while True:
            following = self._due()
            if following is not None:
                await self._write(following)
            await asyncio.sleep(_CHECK_SECONDS)

    def _due(self) -> QuotaShares | None:
        """What this proxy is to write now, None where it is to write nothing."""
        wanted = tuple(sorted(self._wanted()))
        now = self._loop.time()
        if wanted != self._last_wanted:
            self._last_wanted, self._wanted_since = wanted, now
        if self._name not in wanted:
            return None
        later = wanted.index(self._name) * _TURN_SECONDS
        unchanged = _UNCHANGED_SECONDS if self.held.holders else 0.0
        if now - self._wanted_since < unchanged + later:
            return None
        return next_shares(self.held, wanted, now - self._held_since - later)

    async def _write(self, shares: QuotaShares) -> None:
        try:
            self._take(await self._store.write(shares, create=not shares.exists))
        except PlatformError as error:  # a conflict, too: the watch brings what is there now
            log_event("quota_shares_not_written", reason=str(error))

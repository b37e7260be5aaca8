"""The share of the tenants' quotas that one proxy may use, before and after a change. No I/O.

For `quotas.share_keeper`. Owns what the proxy may use by the stored object as it last read it, and
what it was allowed before.

A proxy that learns that it holds less than before may go on with what it held, for as long as a
proxy that does not know of the change: until its last confirmation from before the change ends. So
the holders that leave serve until the next ones have their shares, and a change that is withdrawn
at once is not felt. It no longer does so once it has told another proxy that it uses the present
share only: that one then counts on it.

A previous process of the proxy may have said so before it ended. A new process therefore uses no
share until the object was known to be current after its start. Times are in seconds of one
monotonic clock.
"""

from __future__ import annotations

from math import inf

from orchidwind.promoted.core.quota_shares import QuotaShares
from orchidwind.promoted.core.store_revision import StoreRevision
from orchidwind.shared.core.quota import HeldShare


class OwnShare:
    """The share of one proxy.

    `held` is the stored object as it was last read or written. `previous` is the share from before
    its last change while that one is used, else None.
    """

    def __init__(self, proxy: str, started_at: float = -inf) -> None:
        """`started_at` is a time at or after the start of this process."""
        self.held = QuotaShares()
        self._proxy = proxy
        self._started_at = started_at
        self.previous: HeldShare | None = None

    def learned(self, shares: QuotaShares, now: float, confirmed_at: float) -> None:
        """Note a later version of the object; the version before was confirmed at a time."""
        self.previous = self.in_use(now, confirmed_at)
        self.held = shares

    def gives_up_previous(self, revision: StoreRevision) -> bool:
        """Use the present share only, from now on; returns False if its version is another one."""
        if self.held.revision != revision:
            return False
        self.previous = None
        return True

    def in_use(self, now: float, confirmed_at: float) -> HeldShare:
        """Returns the share to use now; the held version was last confirmed at a time."""
        present = self._present(confirmed_at)
        if self.previous is not None:
            if self.previous.in_force(now) > present.in_force(now):
                return self.previous
            self.previous = None
        return present

    def _present(self, confirmed_at: float) -> HeldShare:
        """Returns the share by the held version, nothing if that may be from before the start."""
        if confirmed_at < self._started_at:
            return HeldShare(0.0, 0.0, confirmed_at)
        early, late = self.held.early_share_of(self._proxy), self.held.share_of(self._proxy)
        return HeldShare(early, late, confirmed_at)

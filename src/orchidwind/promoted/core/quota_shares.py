"""Which proxies hold a share of the tenants' quotas, and how that changes. No I/O, no clock.

One object in the store names the holders; each has the same share of every quota, so that whoever
is cut off from the others can serve some of each. While the holders change, the object also names
those that follow: meanwhile a proxy that is among both has the smaller of its two shares, and the
others have none. Whoever acts on the object has heard of it less than `quota.SHARE_VALID_SECONDS`
ago, so once it has named both for `SETTLE_SECONDS`, nobody fills buckets by the larger shares of
before, and those that follow take their place. So the shares in force add up to one at most,
whatever each proxy has heard, and however late.

A proxy that starts anew under its name holds its share again at once: its life before is over.

Owns: nothing. Relies on: a store that changes the object by compare-and-put, and on every user of a
share for how long ago it was confirmed.
"""

from __future__ import annotations

from collections.abc import Collection

from msgspec import Struct

from orchidwind.promoted.core.store_revision import StoreRevision

# After so many seconds everybody who uses a share has heard of a change. Longer than
# `quota.SHARE_VALID_SECONDS` by the drift of two clocks and the way of an answer.
SETTLE_SECONDS = 10.2


class QuotaShares(Struct, frozen=True):
    """The holders by name, and those that follow them while they change; both sorted."""

    holders: tuple[str, ...] = ()
    following: tuple[str, ...] = ()
    revision: StoreRevision = StoreRevision(0)

    @property
    def exists(self) -> bool:
        """Whether the store holds it."""
        return self.revision.in_era > 0

    def share_of(self, proxy: str) -> float:
        """Which share of each quota a proxy holds, 0 to 1."""
        if proxy not in self.holders or (self.following and proxy not in self.following):
            return 0.0
        return 1.0 / max(len(self.holders), len(self.following))


def next_shares(held: QuotaShares, wanted: Collection[str], known_for: float) -> QuotaShares | None:
    """What is to be written over `held`, which is known for so many seconds; None: nothing."""
    if held.following:
        if known_for < SETTLE_SECONDS:
            return None
        return QuotaShares(held.following, (), held.revision)
    names = tuple(sorted(wanted))
    if not names or names == held.holders:
        return None
    if not held.holders:
        return QuotaShares(names, (), held.revision)
    return QuotaShares(held.holders, names, held.revision)

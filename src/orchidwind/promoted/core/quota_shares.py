"""The shares of the tenants' quotas that proxies hold, and how the set of holders changes. No I/O.

One object in the store names the holders. Each holder has the same share of every quota, so that a
proxy that is cut off from the others can still serve part of each quota. While the set of holders
changes, the object also names the next holders: a proxy in both sets then has the smaller of its
two shares, and all others have none. A proxy uses its share only while its knowledge of the object
is younger than `quota.SHARE_VALID_SECONDS`. Once the object has named both sets for
`SETTLE_SECONDS`, no proxy fills its buckets by a larger, older share any more, and the next holders
replace the current ones. The shares in use therefore add up to at most one, whatever each proxy
knows and however late it learns it.

Two sets without a common proxy would leave nobody with a share until the change is complete. The
next holders then include the current ones, which leave by a change of their own afterwards.

A proxy that restarts under the same name holds its share again at once, because its previous
process has ended.

The rules rely on a store that changes the object by compare-and-put, and on proxies that track how
long ago their share was confirmed.
"""

from __future__ import annotations

from collections.abc import Collection

from msgspec import Struct

from orchidwind.promoted.core.store_revision import StoreRevision

# Seconds after which every proxy that uses a share knows of a change. Longer than
# `quota.SHARE_VALID_SECONDS` by the drift between two clocks and the latency of an answer.
SETTLE_SECONDS = 10.2


class QuotaShares(Struct, frozen=True):
    """The holders by name and, during a change, the next holders in `following`; both sorted."""

    holders: tuple[str, ...] = ()
    following: tuple[str, ...] = ()
    revision: StoreRevision = StoreRevision(0)

    @property
    def exists(self) -> bool:
        """Whether the object exists in the store."""
        return self.revision.in_era > 0

    def share_of(self, proxy: str) -> float:
        """Returns the share of each quota that a proxy holds, from 0 to 1."""
        if proxy not in self.holders or (self.following and proxy not in self.following):
            return 0.0
        return 1.0 / max(len(self.holders), len(self.following))


def next_shares(held: QuotaShares, wanted: Collection[str], known_for: float) -> QuotaShares | None:
    """Returns the object to write in place of `held`, or None if nothing is to be written.

    `wanted` names the proxies that should hold shares; `held` has been known for `known_for`
    seconds.
    """
    if held.following:
        if known_for < SETTLE_SECONDS:
            return None
        return QuotaShares(held.following, (), held.revision)
    names = tuple(sorted(wanted))
    if not names or names == held.holders:
        return None
    if not held.holders:
        return QuotaShares(names, (), held.revision)
    if not set(names) & set(held.holders):
        names = tuple(sorted({*names, *held.holders}))
    return QuotaShares(held.holders, names, held.revision)

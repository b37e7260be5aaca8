"""The shares of the tenants' quotas that proxies hold, and how the set of holders changes. No I/O.

One object in the store names the holders. Each holder has the same share of every quota, so that a
proxy that is cut off from the others can still serve part of each quota. A change of the holders
takes three writes of the object:

    1. It names the next holders as well. A proxy in both sets then has the smaller of its two
       shares, all others have none.
    2. Once that has stood for `EARLY_SETTLE_SECONDS`, the early part of each quota passes to the
       next holders: no proxy fills its buckets by an older share of it any more
       (`quota.EARLY_VALID_SECONDS`).
    3. Once the change has stood for `SETTLE_SECONDS`, the next holders replace the current ones and
       have the late part, too (`quota.SHARE_VALID_SECONDS`).

Before the second write, a change can be withdrawn, and further next holders can be added: until
then it has given nothing to anybody. The shares in use add up to at most one, whatever each proxy
knows and however late it learns it, because each part is taken over only after every older right to
it has ended, and because the store orders the writes.

Two sets without a common proxy would leave nobody with a share until the second write. The next
holders then include the current ones, which leave by a change of their own afterwards. Only holders
that are lost are replaced without that.

A proxy that restarts under the same name holds its share again at once, because its previous
process has ended.

The rules rely on a store that changes the object by compare-and-put, and on proxies that track how
long ago their share was confirmed. `share_changes` decides which proxy writes which of them when.
"""

from __future__ import annotations

from collections.abc import Collection

from msgspec import Struct
from msgspec.structs import replace

from orchidwind.promoted.core.store_revision import StoreRevision
from orchidwind.shared.core.quota import in_both_parts

# Seconds after which every proxy that uses the late part of a share knows of a change. Longer than
# `quota.SHARE_VALID_SECONDS` by the drift between two clocks and the latency of an answer.
SETTLE_SECONDS = 10.2
# The same for the early part and `quota.EARLY_VALID_SECONDS`.
EARLY_SETTLE_SECONDS = 2.4


class QuotaShares(Struct, frozen=True):
    """The holders by name and, during a change, the next holders in `following`; both sorted.

    `early_passed`: the early part of each quota has passed to the next holders. `first_revision`:
    the revision at which the present change was first written, if the object was written again
    since; else 0.
    """

    holders: tuple[str, ...] = ()
    following: tuple[str, ...] = ()
    revision: StoreRevision = StoreRevision(0)
    early_passed: bool = False
    first_revision: StoreRevision = StoreRevision(0)

    @property
    def exists(self) -> bool:
        """Whether the object exists in the store."""
        return self.revision.in_era > 0

    @property
    def change_revision(self) -> StoreRevision:
        """The revision at which the present change was first written."""
        return self.first_revision or self.revision

    def continues(self, other: QuotaShares) -> bool:
        """Whether this and the other version belong to the same change of the holders."""
        if not self.following or not other.following:
            return False
        return self.change_revision == other.change_revision

    def share_of(self, proxy: str) -> float:
        """Returns the share of each quota's late part that a proxy holds, from 0 to 1."""
        if proxy not in self.holders or (self.following and proxy not in self.following):
            return 0.0
        return 1.0 / max(len(self.holders), len(self.following))

    def early_share_of(self, proxy: str) -> float:
        """Returns the share of each quota's early part that a proxy holds, from 0 to 1."""
        if self.early_passed and proxy in self.following:
            return 1.0 / len(self.following)
        return self.share_of(proxy)

    def whole_share_of(self, proxy: str) -> float:
        """Returns the share of each quota that a proxy holds, both parts together, from 0 to 1."""
        return in_both_parts(self.early_share_of(proxy), self.share_of(proxy))


def next_shares(held: QuotaShares, wanted: Collection[str], known_for: float) -> QuotaShares | None:
    """Returns the object to write in place of `held`, or None if nothing is to be written.

    `wanted` names the proxies that should hold shares; `held`, or the change to which it belongs,
    has been known for `known_for` seconds.
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


def early_part_passed(held: QuotaShares, known_for: float) -> QuotaShares | None:
    """Returns the object by which the next holders get the early part, or None if it is too soon.

    The change has been known for `known_for` seconds.
    """
    if not held.following or held.early_passed or known_for < EARLY_SETTLE_SECONDS:
        return None
    return replace(held, early_passed=True, first_revision=held.change_revision)


def with_next_holders(held: QuotaShares, names: Collection[str]) -> QuotaShares:
    """Returns the object that names these proxies as next holders, and no other.

    `held` is not changing, or nothing has passed to its next holders yet; the change goes on.
    """
    first = held.change_revision if held.following else StoreRevision(0)
    return replace(held, following=tuple(sorted(set(names))), first_revision=first)


def withdrawn(held: QuotaShares) -> QuotaShares:
    """Returns the object without its change, of which nothing has passed to the next holders."""
    return QuotaShares(held.holders, (), held.revision)

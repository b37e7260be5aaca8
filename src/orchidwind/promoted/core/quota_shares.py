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
then it has given nothing to anybody. Between the second and the third write, it can be turned round
(`returned`): the holders from before the change then use the late part again at once, as it never
passed to anybody, and get the early part back as by any other change.

The waiting times are for holders that cannot be asked. Once all holders have confirmed that they
use no share from before the present version, every older right has ended, and the change is
completed at once (`completed`).

The shares in use add up to at most one, whatever each proxy knows and however late it learns it,
because each part is taken over only after every older right to it has ended, and because the store
orders the writes.

Two sets without a common proxy would leave nobody with a share until the second write. The next
holders then include the current ones, which leave by a change of their own afterwards. Only holders
that are lost are replaced without that.

A proxy that restarts under the same name holds its share again as soon as it knows a version that
was current after its start, because its previous process has ended.

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
    since; else 0. `late_kept`: the change returns the early part to the proxies in `following`,
    which hold the late part already.
    """

    holders: tuple[str, ...] = ()
    following: tuple[str, ...] = ()
    revision: StoreRevision = StoreRevision(0)
    early_passed: bool = False
    first_revision: StoreRevision = StoreRevision(0)
    late_kept: bool = False

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
        if self.late_kept:
            return 1.0 / len(self.following) if proxy in self.following else 0.0
        return self._common_share_of(proxy)

    def _common_share_of(self, proxy: str) -> float:
        """Returns the smaller of the shares that a proxy holds before and after the change."""
        if proxy not in self.holders or (self.following and proxy not in self.following):
            return 0.0
        return 1.0 / max(len(self.holders), len(self.following))

    def early_share_of(self, proxy: str) -> float:
        """Returns the share of each quota's early part that a proxy holds, from 0 to 1."""
        if self.early_passed and proxy in self.following:
            return 1.0 / len(self.following)
        return self._common_share_of(proxy)

    def whole_share_of(self, proxy: str) -> float:
        """Returns the share of each quota that a proxy holds, both parts together, from 0 to 1."""
        return in_both_parts(self.early_share_of(proxy), self.share_of(proxy))


def next_shares(held: QuotaShares, wanted: Collection[str], known_for: float) -> QuotaShares | None:
    """Returns the object to write in place of `held`, or None if nothing is to be written.

    `wanted` names the proxies that should hold shares; `held`, or the change to which it belongs,
    has been known for `known_for` seconds.
    """
    if held.following:
        settle_time = EARLY_SETTLE_SECONDS if held.late_kept else SETTLE_SECONDS
        return None if known_for < settle_time else completed(held)
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
    if not held.following or held.early_passed or held.late_kept:
        return None
    if known_for < EARLY_SETTLE_SECONDS:
        return None
    return replace(held, early_passed=True, first_revision=held.change_revision)


def with_next_holders(held: QuotaShares, names: Collection[str]) -> QuotaShares:
    """Returns the object that names these proxies as next holders, and no other.

    `held` is not changing, or nothing has passed to its next holders yet. The change goes on, but
    begins anew if a holder that stays then has a smaller share: it may not know of that yet.
    """
    following = tuple(sorted(set(names)))
    if not held.following:
        return replace(held, following=following)
    changed = replace(held, following=following, first_revision=held.change_revision)
    if any(changed.share_of(name) < held.share_of(name) for name in held.holders):
        return replace(changed, first_revision=StoreRevision(0))
    return changed


def completed(held: QuotaShares) -> QuotaShares:
    """Returns the object in which the next holders replace the present ones.

    Every share from before the present version has ended, by its age or by the word of its holder.
    """
    return QuotaShares(held.following, (), held.revision)


def returned(held: QuotaShares) -> QuotaShares:
    """Returns the object that turns a change round whose early part has passed, but not the late.

    The present holders have the late part at once. A new change begins, which gives them the early
    part of the proxies to which it has passed.
    """
    return QuotaShares(held.following, held.holders, held.revision, late_kept=True)


def withdrawn(held: QuotaShares) -> QuotaShares:
    """Returns the object without its change, of which nothing has passed to the next holders."""
    return QuotaShares(held.holders, (), held.revision)

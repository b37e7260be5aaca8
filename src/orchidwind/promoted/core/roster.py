"""The roster of a group: who may hold acknowledged commits, and who was promoted last. No I/O.

What for: a proxy that starts cannot have seen who left before, or a promotion that takes effect
late; it reads both here. Owns: what one proxy knows of a roster (`KnownRoster`); the store holds
it, `roster_keeper` writes it. Relies on: nothing but log positions and the store's revisions.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable

from msgspec import Struct
from msgspec.structs import replace

from orchidwind.promoted.core.store_revision import StoreRevision
from orchidwind.shared.core.positions import Position


class PromotionRecord(Struct, frozen=True):
    """The last promotion that was called, or was about to be; written before its call.

    `instance` leads at `term` or later, if it took effect. `start` is the end of its log then: the
    log that the term begins with. `token` is the fencing token of the call. `replaced` is the
    primary before, empty where none was known.
    """

    instance: str
    term: int
    start: Position
    token: StoreRevision
    replaced: str = ""


class Roster(Struct, frozen=True):
    """A group's roster as the store holds it. `members` are sorted names."""

    group: str
    members: tuple[str, ...]
    revision: StoreRevision
    last_promotion: PromotionRecord | None = None


class KnownRoster:
    """One group's roster as a proxy knows it: what the store holds, and what it may have lost.

    The store may come back from an older copy, whose roster names fewer. What was known before
    counts on, and is to be written again, so that the store soon says no less than the union of its
    copy and of what any proxy knew. The last promotion never goes back, whoever writes an older one
    over it. `held` is the roster as the store holds it, not there yet where its revision is 0.
    """

    def __init__(self, group: str, era: int = 0) -> None:
        """`era`: of the store, as far as it is known."""
        self.held = Roster(group, (), StoreRevision.of(era, 0))
        self._lost_members: frozenset[str] = frozenset()
        self._last_promotion: PromotionRecord | None = None

    def take(self, stored: Roster) -> None:
        """The store holds this, or held it a while ago."""
        if stored.revision < self.held.revision:
            return
        if stored.revision.era > self.held.revision.era:
            self._lost_members |= frozenset(self.held.members)
        self.held = stored
        self._last_promotion = _later(self._last_promotion, stored.last_promotion)

    def absent(self, era: int) -> None:
        """The store has no roster of this group in an era."""
        if era > self.held.revision.era:
            self.take(Roster(self.held.group, (), StoreRevision.of(era, 0)))

    @property
    def known(self) -> Roster:
        """All that is known; its revision is that of `held`."""
        members = self.held.members
        if self._lost_members:
            members = tuple(sorted(self._lost_members.union(members)))
        return replace(self.held, members=members, last_promotion=self._last_promotion)

    def wanted(self, members_of: Callable[[Iterable[str]], tuple[str, ...]]) -> Roster | None:
        """The roster as it is to be written, None where the store holds it so.

        `members_of` gets the members that are known, and returns those that should be named.
        """
        known = self.known
        wanted = replace(known, members=members_of(known.members))
        if wanted != self.held:
            return wanted
        self._lost_members = frozenset()
        return None


def _later(one: PromotionRecord | None, other: PromotionRecord | None) -> PromotionRecord | None:
    if one is None or other is None:
        return one or other
    return max(one, other, key=lambda record: record.token)

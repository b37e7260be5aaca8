"""The roster of a group: the instances that may hold acknowledged commits, and the last promotion.

A proxy that starts cannot know which instances left before, or of a promotion that takes effect
late; it reads both here. Owns: what one proxy knows of a roster (`KnownRoster`); the store holds
the roster, and `roster_keeper` writes it. Relies on: log positions and the store's revisions only.
No I/O.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable

from msgspec import Struct
from msgspec.structs import replace

from orchidwind.promoted.core.store_revision import StoreRevision
from orchidwind.shared.core.positions import Position


class PromotionRecord(Struct, frozen=True):
    """The last promotion that was called, or was about to be; written before the call.

    If the promotion took effect, `instance` leads at `term` or later. `start` is the end of its log
    at that time: the log with which the term begins. `token` is the fencing token of the call.
    `replaced` is the previous primary, empty if none was known.
    """

    instance: str
    term: int
    start: Position
    token: StoreRevision
    replaced: str = ""

    def replaces(self, instance: str, term: int) -> bool:
        """Whether an instance that leads in a term must no longer be used as primary.

        This holds from the record on and for good, whether the promotion takes effect or not. No
        observation of the promoted instance shows that it will never lead: its answer may be older
        than the effect of the call, and an instance that is silent or no longer listed may lead for
        others, or return as primary after a crash. Only a promotion to a later term rules that out,
        so the old primary leads again only if it is promoted itself.
        """
        return self.term > term and self.instance != instance


class Roster(Struct, frozen=True):
    """A group's roster as the store holds it. `members` are sorted names."""

    group: str
    members: tuple[str, ...]
    revision: StoreRevision
    last_promotion: PromotionRecord | None = None


class KnownRoster:
    """One group's roster as a proxy knows it: what the store holds, and what it may have lost.

    The store may be restored from an older copy, whose roster names fewer members. Members known
    from before still count and are to be written again, so that the store soon holds the union of
    its copy and of what any proxy knew. The last promotion never goes back, even if an older one is
    written over it. `held` is the roster as the store holds it; revision 0 means that the store has
    none yet.
    """

    def __init__(self, group: str, era: int = 0) -> None:
        """`era`: the era of the store, as far as it is known."""
        self.held = Roster(group, (), StoreRevision.of(era, 0))
        self._lost_members: frozenset[str] = frozenset()
        self._last_promotion: PromotionRecord | None = None

    def take(self, stored: Roster) -> None:
        """Note a roster that the store holds, or held a while ago."""
        if stored.revision < self.held.revision:
            return
        restored = stored.revision.era > self.held.revision.era
        if restored:
            self._lost_members |= frozenset(self.held.members)
        self.held = stored
        self._last_promotion = _later_promotion(
            self._last_promotion, stored.last_promotion, restored
        )

    def absent(self, era: int) -> None:
        """Note that the store has no roster of this group in an era."""
        if era > self.held.revision.era:
            self.take(Roster(self.held.group, (), StoreRevision.of(era, 0)))

    @property
    def known(self) -> Roster:
        """Everything that is known, with the revision of `held`."""
        members = self.held.members
        if self._lost_members:
            members = tuple(sorted(self._lost_members.union(members)))
        return replace(self.held, members=members, last_promotion=self._last_promotion)

    def wanted(self, members_of: Callable[[Iterable[str]], tuple[str, ...]]) -> Roster | None:
        """Return the roster to be written, None if the store holds it already.

        `members_of` gets the known members and returns those that the roster should name.
        """
        known = self.known
        wanted = replace(known, members=members_of(known.members))
        if wanted != self.held:
            return wanted
        self._lost_members = frozenset()
        return None


def _later_promotion(
    known: PromotionRecord | None, stored: PromotionRecord | None, restored: bool
) -> PromotionRecord | None:
    """Return the later of the known record and the one that the store holds now.

    One holder of the lock may record several promotions under its token. Then the stored one is the
    later, unless the store was `restored` from an older copy.
    """
    if known is None or stored is None:
        return known or stored
    if known.token == stored.token:
        return known if restored else stored
    return max(known, stored, key=lambda record: record.token)

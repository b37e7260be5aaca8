"""The roster of a group: who may hold acknowledged commits, and who was promoted last. No I/O.

What for: a proxy that starts cannot have seen who left before, or a promotion that takes effect
late; it reads both here. Owns: nothing; the store holds the roster, `roster_keeper` writes it.
Relies on: nothing but log positions.
"""

from __future__ import annotations

from dataclasses import dataclass, replace

from orchidwind.promoted.core.store_revision import StoreRevision
from orchidwind.shared.core.positions import Position


@dataclass(frozen=True, slots=True)
class PromotionRecord:
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


@dataclass(frozen=True, slots=True)
class Roster:
    """A group's roster as the store holds it. `members` are sorted names."""

    group: str
    members: tuple[str, ...]
    revision: StoreRevision
    last_promotion: PromotionRecord | None = None

    def united_with(self, other: Roster) -> Roster:
        """This one with the members of both, and the later promotion."""
        members = tuple(sorted({*self.members, *other.members}))
        records = [self.last_promotion, other.last_promotion]
        known = [record for record in records if record is not None]
        last = max(known, key=lambda record: record.token, default=None)
        return replace(self, members=members, last_promotion=last)

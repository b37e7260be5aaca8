"""What a proxy holds of one followed collection: as of which revision, and how old that is.

For: `collection_watch`, which brings listings and changes from the store and from other proxies.
Owns revision and age, and that nothing goes back to an earlier revision. What is said of an earlier
era of the store changes nothing and confirms nothing; within an era an answer that a later one has
overtaken does confirm, as what is held is later than it. Relies on
`promoted.core.freshness` for the age, and on the follower for the items themselves.
"""

from __future__ import annotations

import asyncio
import logging
from typing import Generic, Protocol, TypeVar

from orchidwind.promoted.core.freshness import FollowRule, FollowTimes
from orchidwind.promoted.core.store_revision import NOTHING_HELD, StoreRevision
from orchidwind.promoted.ports import Changes, Listing
from orchidwind.shared.logs import is_power_of_two, log_event

# Who showed a view to be current, in log lines, where it was not another proxy.
STORE = "store"

Item = TypeVar("Item")
Taken = TypeVar("Taken", contravariant=True)


class CollectionFollower(Protocol[Taken]):
    """Takes what a watch brings."""

    def listed(self, listing: Listing[Taken]) -> bool:
        """All items as of a revision; what is missing is gone.

        Whether they differ from what was held, so that the view has changed for others, too.
        """

    def changed(self, changes: Changes[Taken]) -> None:
        """Later changes."""


class HeldView(Generic[Item]):
    """One view; `rule` has its age."""

    def __init__(self, name: str, follower: CollectionFollower[Item], times: FollowTimes) -> None:
        self.name = name
        self._follower = follower
        self._bound = times.bound
        # The view is whole as of this revision; it was last different before `changed_revision`.
        self.revision = NOTHING_HELD
        self.changed_revision = NOTHING_HELD
        # Who showed last that the view is current, and as of which revision of theirs.
        self._confirmed_by = ""
        self._confirmed_revision = NOTHING_HELD
        self._passed_over = 0
        self._logged_too_old = False
        self._loop = asyncio.get_running_loop()
        self.rule = FollowRule(times, self._loop.time())

    @property
    def known(self) -> bool:
        """Whether any content was taken since the start."""
        return self.revision >= 0

    @property
    def age(self) -> float:
        """Seconds since the view was last known to be current, or since the start."""
        return self.rule.age(self._loop.time())

    def take_listing(self, listing: Listing[Item], as_of: float, source: str = STORE) -> None:
        """All items, current at a time. One overtaken by a later one only confirms the view."""
        if not self.known:
            self.rule.first_known(as_of)
        if listing.revision >= self.revision:
            differs = self._follower.listed(listing)
            # Of another era nobody who asks can know by a revision whether it holds the same.
            if differs or listing.revision.era != self.revision.era:
                self.changed_revision = listing.revision
            self.revision = listing.revision
        self.confirm(as_of, source, listing.revision)

    def _of_this_era(self, revision: StoreRevision, source: str) -> bool:
        """Whether what came speaks of the era that is held; logs a few of those that do not."""
        if revision.era == self.revision.era:
            return True
        self._passed_over += 1
        if is_power_of_two(self._passed_over):
            self.log(
                "earlier_era_passed_over",
                count=self._passed_over,
                source=source,
                revision=revision,
                decision="neither take it nor count the view as confirmed",
            )
        return False

    def take_changes(self, changes: Changes[Item], as_of: float) -> None:
        """Later changes, or none, current at a time."""
        if not self._of_this_era(changes.revision, STORE):
            return
        if changes.revision >= self.revision:
            # Taken before the revision is claimed: another proxy that asks is told by it what is
            # held, and a fault of the follower must leave the view as it was.
            self._follower.changed(changes)
            self.revision = changes.revision
            if changes.changed or changes.gone:
                self.changed_revision = changes.revision
        self.confirm(as_of, STORE, changes.revision)

    def confirm(self, as_of: float, source: str, revision: StoreRevision) -> None:
        """What is held was current at a time: a source shows it, whose view has a revision."""
        if not self._of_this_era(revision, source):
            return
        self.rule.confirmed(as_of)
        self._confirmed_by, self._confirmed_revision = source, revision
        if self._logged_too_old and not self.rule.too_old(self._loop.time()):
            self._logged_too_old = False
            self.log("view_current_again")

    @property
    def evidence(self) -> str:
        """Who showed last that the view is current, for the log."""
        return (
            f"held={self.revision},age={self.age:.3f}s,"
            f"confirmed_by={self._confirmed_by}@{self._confirmed_revision}"
        )

    def log_if_too_old(self) -> None:
        """One line when the view grows older than is promised."""
        if self._logged_too_old or not self.rule.too_old(self._loop.time()):
            return
        self._logged_too_old = True
        self.log(
            "view_too_old",
            logging.WARNING,
            bound=self._bound,
            decision="serve on, as nobody reached knows better",
        )

    def log(self, event: str, level: int = logging.INFO, **fields: object) -> None:
        """Log an event with what this view is and how old."""
        log_event(
            event,
            level=level,
            collection=self.name,
            held_revision=self.revision,
            age=round(self.age, 3),
            **fields,
        )

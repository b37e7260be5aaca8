"""A proxy's cached view of one followed collection: its revision and its age.

For: `collection_watch`, which supplies listings and changes from the store and from other proxies.
Owns revision and age, and ensures that the view never returns to an earlier revision. An answer
from an earlier store era neither changes nor confirms the view. Within an era an answer that
arrives after a later one still confirms the view, as the view is at least as recent. Relies on
`promoted.core.freshness` for the age, and on the follower to store the items.
"""

from __future__ import annotations

import asyncio
import logging
from typing import Generic, Protocol, TypeVar

from orchidwind.promoted.core.freshness import FollowRule, FollowTimes
from orchidwind.promoted.core.store_revision import NOTHING_HELD, StoreRevision
from orchidwind.promoted.ports import Changes, Listing
from orchidwind.shared.logs import is_power_of_two, log_event

# The name of the store as a confirming source in log lines; other sources are proxies' names.
STORE = "store"

Item = TypeVar("Item")
Taken = TypeVar("Taken", contravariant=True)


class CollectionFollower(Protocol[Taken]):
    """Receives the content of a followed collection."""

    def listed(self, listing: Listing[Taken]) -> bool:
        """Replace the content by all items as of a revision; items that are missing are gone.

        Returns whether the content differs from before, in which case proxies that ask for this
        view are sent the content.
        """

    def changed(self, changes: Changes[Taken]) -> None:
        """Apply changes that are later than the content."""


class HeldView(Generic[Item]):
    """One view; `rule` tracks its age."""

    def __init__(self, name: str, follower: CollectionFollower[Item], times: FollowTimes) -> None:
        self.name = name
        self._follower = follower
        self._bound = times.bound
        # The view is complete up to `revision`; `changed_revision` is the latest revision that
        # brought a change of the content.
        self.revision = NOTHING_HELD
        self.changed_revision = NOTHING_HELD
        # The source that last confirmed the view, and the revision that this source held.
        self._confirmed_by = ""
        self._confirmed_revision = NOTHING_HELD
        self._ignored_answers = 0
        self._logged_too_old = False
        self._loop = asyncio.get_running_loop()
        self.rule = FollowRule(times, self._loop.time())

    @property
    def known(self) -> bool:
        """Whether any content was received since the start."""
        return self.revision >= 0

    @property
    def age(self) -> float:
        """Seconds since the view was last known to be current, or since the start."""
        return self.rule.age(self._loop.time())

    def apply_listing(self, listing: Listing[Item], as_of: float, source: str = STORE) -> None:
        """Apply all items, which were current at `as_of`.

        A listing older than the view only confirms it.
        """
        if not self.known:
            self.rule.first_known(as_of)
        if listing.revision >= self.revision:
            differs = self._follower.listed(listing)
            # Across eras a proxy that asks cannot tell by revision whether its content is the same.
            if differs or listing.revision.era != self.revision.era:
                self.changed_revision = listing.revision
            self.revision = listing.revision
        self.confirm(as_of, source, listing.revision)

    def _is_current_era(self, revision: StoreRevision, source: str) -> bool:
        """Whether a revision belongs to the view's store era; logs some of those that do not."""
        if revision.era == self.revision.era:
            return True
        self._ignored_answers += 1
        if is_power_of_two(self._ignored_answers):
            self.log(
                "earlier_era_passed_over",
                count=self._ignored_answers,
                source=source,
                revision=revision,
                decision="the answer is ignored and does not confirm the view",
            )
        return False

    def apply_changes(self, changes: Changes[Item], as_of: float) -> None:
        """Apply later changes, if any; the result was current at `as_of`."""
        if not self._is_current_era(changes.revision, STORE):
            return
        if changes.revision >= self.revision:
            # Applied before the revision is set: the revision tells other proxies what this one
            # holds, so an error of the follower must leave it unchanged.
            self._follower.changed(changes)
            self.revision = changes.revision
            if changes.changed or changes.gone:
                self.changed_revision = changes.revision
        self.confirm(as_of, STORE, changes.revision)

    def confirm(self, as_of: float, source: str, revision: StoreRevision) -> None:
        """Record that the view was current at `as_of`, as a source with a revision showed."""
        if not self._is_current_era(revision, source):
            return
        self.rule.confirmed(as_of)
        self._confirmed_by, self._confirmed_revision = source, revision
        if self._logged_too_old and not self.rule.too_old(self._loop.time()):
            self._logged_too_old = False
            self.log("view_current_again")

    @property
    def evidence(self) -> str:
        """The revision held, its age and the last confirming source, as text for the log."""
        return (
            f"held={self.revision},age={self.age:.3f}s,"
            f"confirmed_by={self._confirmed_by}@{self._confirmed_revision}"
        )

    def log_if_too_old(self) -> None:
        """Log once when the view exceeds its maximum age."""
        if self._logged_too_old or not self.rule.too_old(self._loop.time()):
            return
        self._logged_too_old = True
        self.log(
            "view_too_old",
            logging.WARNING,
            bound=self._bound,
            decision="continue to serve, as no reachable source has a newer view",
        )

    def log(self, event: str, level: int = logging.INFO, **fields: object) -> None:
        """Log an event with the name, revision and age of this view."""
        log_event(
            event,
            level=level,
            collection=self.name,
            held_revision=self.revision,
            age=round(self.age, 3),
            **fields,
        )

"""Which instances may have confirmed commits of the present term. No I/O, no clock.

A change of primary counts the logs of all instances that may have confirmed commits, and the roster
in the store names them for proxies that start later. Commits of earlier terms are in the log of the
present primary, else it would not lead.

The rule: an instance counts while the directory lists it, and also after its entry has gone: it
goes on serving without an entry, and it loses its entry also when it is only cut off from the
directory. It no longer counts

- when another instance is listed at its address, because that one then has its log. This does not
  apply if the same instance was restarted and has lost its log;
- when neither this proxy nor the directory has heard of it since the earliest time at which the
  present term can have begun. That time is derived from the last proof that the primary of the
  previous term still led. Such an instance is *absent*;
- `MAY_CONFIRM_SECONDS` after its entry went, if by then the present term had not yet begun, or if
  enough other instances hold the primary's log as it was at that time.

Owns: the names that only the roster has, and those that were dropped. Relies on: the instances'
views as `topology` keeps them. Times are in seconds of the monotonic clock.
"""

from __future__ import annotations

from collections.abc import Iterable

from orchidwind.promoted.core.configuration import PromotedGroupSettings
from orchidwind.promoted.core.instance_view import InstanceView
from orchidwind.promoted.core.newest_term import NewestTerm
from orchidwind.promoted.core.proven_floors import ProvenFloors
from orchidwind.shared.core.positions import Position

# Seconds for which an instance may go on confirming commits after its entry has gone. With a
# shorter time an instance that is cut off from the directory only is forgotten too soon; with a
# longer one a group that lost several instances for good waits longer for a primary.
MAY_CONFIRM_SECONDS = 20.0
# Seconds from an instance's last heartbeat to the directory until its entry goes, unless the
# deployment sets another time: three heartbeats of 1.2 s.
DEFAULT_ENTRY_OUTLIVES_SECONDS = 3.6


class ConfirmingInstances:
    """The instances that may have confirmed commits of one group, as one proxy knows them."""

    def __init__(
        self,
        instances: dict[str, InstanceView],
        newest_term: NewestTerm,
        floors: ProvenFloors,
        entry_outlives: float,
    ) -> None:
        """`entry_outlives` is how long an entry stays after its instance's last heartbeat."""
        self._instances = instances
        self._newest_term = newest_term
        self._floors = floors
        self._entry_outlives = entry_outlives
        # Instances that only the roster names, and since when this proxy knows that.
        self._roster_only: dict[str, float] = {}
        self._dropped: set[str] = set()

    def listed(self, instance: str) -> None:
        """Count an instance that the directory lists, whatever was known before."""
        self._roster_only.pop(instance, None)
        self._dropped.discard(instance)

    # --- instances that count -----------------------------------------------------------------

    def names(self) -> list[str]:
        """Return the instances that may have confirmed commits of the present term."""
        present = [name for name, view in self._instances.items() if self._may_have_confirmed(view)]
        replaced = self.replacements()
        return [name for name in (*present, *self._roster_only) if name not in replaced]

    def absent(self, now: float) -> list[str]:
        """Return the instances that `names` leaves out although they left only recently.

        After `MAY_CONFIRM_SECONDS` an instance is considered gone: otherwise a group that lost
        several instances for good would never have a primary again.
        """
        replaced = self.replacements()
        return [
            name
            for name, view in self._instances.items()
            if not self._may_have_confirmed(view)
            and now - view.gone_at <= MAY_CONFIRM_SECONDS
            and name not in replaced
        ]

    def replacements(self) -> dict[str, str]:
        """Map each instance that has left to the one at its address, which has its log now.

        Without this, a group whose instances are replaced one after the other would miss each of
        the old instances for `MAY_CONFIRM_SECONDS`.
        """
        listed = {view.address: name for name, view in self._instances.items() if view.listed}
        return {
            name: listed[view.address]
            for name, view in self._instances.items()
            if not view.listed and not view.ended and view.address in listed
        }

    def _may_have_confirmed(self, view: InstanceView) -> bool:
        last_heartbeat = view.gone_at - self._entry_outlives
        last_sign = max(view.last_answer_at, last_heartbeat)
        return view.listed or last_sign >= self._newest_term.began_after

    # --- instances that are dropped -----------------------------------------------------------

    def any_expired(self, now: float) -> bool:
        """Whether an instance left so long ago that it may be dropped once others hold its log."""
        gone = [view.gone_at for view in self._instances.values() if not view.listed]
        return any(now - at > MAY_CONFIRM_SECONDS for at in gone)

    def drop_expired(self, now: float, settings: PromotedGroupSettings) -> list[str]:
        """Drop instances that left long ago and whose log others hold; returns their names."""
        old = [
            name
            for name, view in self._instances.items()
            if not view.listed and self._held_by_others(view.gone_at, now, settings)
        ]
        for name in old:
            del self._instances[name]
        # Only the names of these instances are known here, so waiting longer could not show more.
        expired = [name for name, at in self._roster_only.items() if now - at > MAY_CONFIRM_SECONDS]
        for name in expired:
            del self._roster_only[name]
        self._dropped.update(old, expired)
        return old

    def _held_by_others(self, gone_at: float, now: float, settings: PromotedGroupSettings) -> bool:
        """Whether other instances hold everything that an instance may have confirmed alone.

        Guards against a primary that has been down since, and whose commits no other instance has:
        it has to come back before the instance that left no longer counts.
        """
        ended_at = gone_at + MAY_CONFIRM_SECONDS
        if now <= ended_at:
            return False
        if self._newest_term.began_after > ended_at:
            return True
        wanted = self._end_of_primary_log(ended_at)
        if wanted is None:
            return False
        holding = [
            view
            for view in self._instances.values()
            if view.listed and view.status is not None and view.status.received >= wanted
        ]
        # The primary itself, and as many replicas as must have received a commit.
        return len(holding) > max(settings.synchronous_replicas, 1)

    def _end_of_primary_log(self, since: float) -> Position | None:
        """Return the lowest end of the primary's log known from after a time, None if none is."""
        ends = [
            view.status.received
            for view in self._instances.values()
            if view.status is not None
            and view.status.asked_at >= since
            and view.led_term == self._newest_term.term
        ]
        proven = self._floors.floor_since(since)
        return min(ends if proven is None else [*ends, proven], default=None)

    # --- the roster in the store --------------------------------------------------------------

    def roster_read(self, members: Iterable[str], now: float) -> None:
        """Note the names in the group's roster.

        Instances that are unknown here left before this proxy started.
        """
        for name in members:
            if name not in self._instances and name not in self._dropped:
                self._roster_only.setdefault(name, now)

    def roster(self, held: Iterable[str]) -> tuple[str, ...]:
        """Return the sorted names that the group's roster should hold, if it holds `held` now.

        Only listed instances are added, and only instances that this proxy saw leave long ago are
        removed, so that proxies that know different things do not undo each other's changes.
        """
        listed = {name for name, view in self._instances.items() if view.listed}
        gone = self._dropped | self.replacements().keys()
        return tuple(sorted((set(held) - gone) | listed))

    # --- for the log --------------------------------------------------------------------------

    def sources(self, now: float) -> dict[str, str]:
        """Return how each instance that may hold commits is known, and the age of that knowledge.

        For the log of a change of primary; `uncounted` marks instances that `names` leaves out.
        """
        sources: dict[str, str] = {}
        for name, view in self._instances.items():
            entry = "listed" if view.listed else f"gone:{now - view.gone_at:.3f}s"
            answered = "never_answered"
            if view.last_answer_at > 0:
                answered = f"answered:{now - view.last_answer_at:.3f}s"
            counted = "" if self._may_have_confirmed(view) else ":uncounted"
            sources[name] = f"{entry}:{answered}{counted}"
        for name, at in self._roster_only.items():
            sources[name] = f"roster:{now - at:.3f}s"
        return sources

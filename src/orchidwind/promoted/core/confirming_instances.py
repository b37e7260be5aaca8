"""Which instances may have confirmed commits of the present term. No I/O, no clock.

What for: a change of primary counts the logs of all that may have confirmed, and the roster in the
store names them for proxies that start later. Commits of earlier terms are in the log of the
present primary, else it would not lead.

The rule. An instance counts while it is listed, and afterwards: it serves on after its entry has
gone, and its entry also goes while it is only cut off from the directory. It counts no longer

- when another instance is listed at its address: that one has its log. It is none where the same
  instance has started anew, without what it held;
- when neither this proxy nor the directory has heard of it since the present term began, which is
  bounded by the last proof that the primary of the term before still led (it is *absent* then);
- `MAY_CONFIRM_SECONDS` after its entry went, if the primary's log of that time is held by enough
  others, or the present term began later.

Owns: the names that only the roster has, and those that were dropped. Relies on: the instances'
views as `topology` keeps them. Times are in seconds of the steady clock.
"""

from __future__ import annotations

from collections.abc import Iterable

from orchidwind.promoted.core.configuration import PromotedGroupSettings
from orchidwind.promoted.core.instance_view import InstanceView
from orchidwind.promoted.core.newest_term import NewestTerm
from orchidwind.promoted.core.proven_floors import ProvenFloors
from orchidwind.shared.core.positions import Position

# Seconds for which an instance may go on confirming after its entry has gone. On the safe
# side: with less an instance that is cut off from the directory alone is forgotten too soon, with
# more a group that lost several instances for good waits longer for a primary.
MAY_CONFIRM_SECONDS = 20.0
# Seconds from an instance's last heartbeat to the directory until its entry goes, where the
# deployment names no other time: three heartbeats of 1.2 s.
DEFAULT_ENTRY_OUTLIVES_SECONDS = 3.6


class ConfirmingInstances:
    """Who may have confirmed commits of one group, as one proxy knows."""

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
        # Named by the roster alone, and since when this proxy knows that.
        self._roster_only: dict[str, float] = {}
        self._dropped: set[str] = set()

    def listed(self, instance: str) -> None:
        """The directory lists an instance: it counts, whatever was known before."""
        self._roster_only.pop(instance, None)
        self._dropped.discard(instance)

    # --- who counts ---------------------------------------------------------------------------

    def names(self) -> list[str]:
        """Instances that may have confirmed commits of the present term."""
        present = [name for name, view in self._instances.items() if self._may_have_confirmed(view)]
        replaced = self.replacements()
        return [name for name in (*present, *self._roster_only) if name not in replaced]

    def absent(self, now: float) -> list[str]:
        """Instances that `names` leaves out, though they left not long ago.

        After that long they are taken as gone: else a group that lost several instances for good
        would never have a primary again.
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
        """For each instance that has ended, the one at its address: its log has passed to that one.

        Gains the count of a group whose instances are replaced one after the other: each that
        left would else be missed for `MAY_CONFIRM_SECONDS`.
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

    # --- who is dropped -----------------------------------------------------------------------

    def some_due(self, now: float) -> bool:
        """Whether an instance left so long ago that only the others' logs speak against it."""
        gone = [view.gone_at for view in self._instances.values() if not view.listed]
        return any(now - at > MAY_CONFIRM_SECONDS for at in gone)

    def drop_old(self, now: float, settings: PromotedGroupSettings) -> list[str]:
        """Drop instances that left long ago, and whose log others have; returns their names."""
        old = [
            name
            for name, view in self._instances.items()
            if not view.listed and self._held_by_others(view.gone_at, now, settings)
        ]
        for name in old:
            del self._instances[name]
        # Of these nothing but their names is known here, so that nothing could show more.
        expired = [name for name, at in self._roster_only.items() if now - at > MAY_CONFIRM_SECONDS]
        for name in expired:
            del self._roster_only[name]
        self._dropped.update(old, expired)
        return old

    def _held_by_others(self, gone_at: float, now: float, settings: PromotedGroupSettings) -> bool:
        """Whether what an instance may have confirmed alone is held by others.

        Guards against a primary that is down since, whose commits no other instance has: it has to
        come back before the one that left counts no longer.
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
        # The primary itself, and those that must have received a commit.
        return len(holding) > max(settings.synchronous_replicas, 1)

    def _end_of_primary_log(self, since: float) -> Position | None:
        """The least end of the primary's log that is known from after a time."""
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
        """The group's roster names these; those not seen here left before, some time ago."""
        for name in members:
            if name not in self._instances and name not in self._dropped:
                self._roster_only.setdefault(name, now)

    def roster(self, held: Iterable[str]) -> tuple[str, ...]:
        """What the group's roster should name, sorted, where it names `held` now.

        Only what is listed is added and only what this proxy saw leave long ago is taken off, so
        that proxies that know different things do not undo each other's changes.
        """
        listed = {name for name, view in self._instances.items() if view.listed}
        gone = self._dropped | self.replacements().keys()
        return tuple(sorted((set(held) - gone) | listed))

    # --- for the log --------------------------------------------------------------------------

    def sources(self, now: float) -> dict[str, str]:
        """By what each instance that may hold commits is known, and how old that knowledge is.

        For the log of a change of primary; `uncounted` are those that `names` leaves out.
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

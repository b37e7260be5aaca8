"""What a proxy knows of one promoted group: instances, primary, floors. No I/O, no clock.

A *floor* is a position that a read must see. A floor is *proven* for a time when the primary told
it at or after that time, and it is known that no later primary had begun by then: either a write
was acknowledged, which needs a replica that still follows that primary, or a replica was asked
afterwards and knew of no later term. A change of primary fences every replica that may confirm
commits before it begins (`failover`), so one replica without a later fence is proof enough.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Iterable
from dataclasses import dataclass, replace

from orchidwind.promoted.core.commands import InstanceRole, InstanceStatus
from orchidwind.promoted.core.configuration import (
    DatabaseRoute,
    DirectoryEntry,
    PromotedGroupSettings,
    ReadConsistency,
)
from orchidwind.promoted.core.roster import PromotionRecord
from orchidwind.shared.core.positions import Position

_SAMPLE_SPACING_SECONDS = 0.1
_SAMPLES_KEPT = 64
GONE_USABLE_SECONDS = 2.0
MAY_CONFIRM_SECONDS = 20.0
# An entry goes when its instance has been silent for three heartbeats.
DEFAULT_ENTRY_OUTLIVES_SECONDS = 3.6
# A promotion takes effect some hundred milliseconds after its call, which follows the last proof.
_SHORTEST_PROMOTION_SECONDS = 0.2
_BEHIND_PAUSE_SECONDS = 0.15
_BUSY_PAUSE_SECONDS = 0.02
# A full queue of the first users' instances takes 0.1 to 0.3 s to run empty.
_BUSY_LATELY_SECONDS = 0.3
_UNREACHABLE_PAUSE_SECONDS = 1.0


@dataclass(frozen=True, slots=True)
class PrimaryView:
    """The instance believed to be primary, and its term (0 while that is not known)."""

    instance: str
    term: int


@dataclass(frozen=True, slots=True)
class ReadPlan:
    """Run a read on `instance`, at `floor` where given.

    `proof_of_term` asks for the proof that this is still the primary in that term, as of the
    read's arrival; it is 0 where the floor alone makes the read fresh enough.
    """

    instance: str
    floor: Position | None
    proof_of_term: int = 0


@dataclass(frozen=True, slots=True)
class _Sample:
    at: float
    position: Position


@dataclass(slots=True)
class InstanceView:
    """One instance: its entry, and what was heard from it."""

    entry: DirectoryEntry
    listed: bool = True
    # Its entry was missing when the directory was read as a whole, so it may only have lapsed.
    lapsed: bool = False
    gone_at: float = 0.0
    status: InstanceStatus | None = None
    avoid_until: float = 0.0
    # It lacked this position, and may lack it until then.
    behind_position: Position | None = None
    behind_until: float = 0.0
    busy_at: float = float("-inf")
    heard_at: float = float("-inf")
    unreachable_since: float | None = None

    @property
    def address(self) -> tuple[str, int]:
        """Host and port."""
        return self.entry.host, self.entry.port

    def usable(self, now: float) -> bool:
        """Whether new work may go there."""
        if self.entry.draining:
            return False
        return self.listed or now - self.gone_at <= GONE_USABLE_SECONDS

    def lacks(self, floor: Position, now: float) -> bool:
        """Whether it was found, a moment ago, to lack a position up to this one."""
        behind = self.behind_position
        return behind is not None and now < self.behind_until and behind <= floor

    def note_behind(self, floor: Position, now: float) -> None:
        """It lacked a position: reads that need as much go elsewhere for a while."""
        known = self.behind_position
        lowest = floor if known is None or now >= self.behind_until else min(known, floor)
        self.behind_position = lowest
        self.behind_until = now + _BEHIND_PAUSE_SECONDS


class GroupTopology:
    """The instances of one group as this proxy sees them."""

    def __init__(
        self,
        settings: PromotedGroupSettings,
        zone: str,
        entry_outlives: float = DEFAULT_ENTRY_OUTLIVES_SECONDS,
    ) -> None:
        """`entry_outlives` is how long an entry stays after its instance's last sign of life."""
        self._entry_outlives = entry_outlives
        self.settings = settings
        self.instances: dict[str, InstanceView] = {}
        self._zone = zone
        self._departed: dict[str, float] = {}
        self._forgotten: set[str] = set()
        self._samples: deque[_Sample] = deque(maxlen=_SAMPLES_KEPT)
        self.last_promotion: PromotionRecord | None = None
        self._promotion_read_at = float("-inf")
        self._led_term = 0
        # The present term began after this time; nothing is known where this proxy did not see the
        # term before.
        self._term_began_after = float("-inf")
        self._led_until = float("-inf")

    # --- directory ----------------------------------------------------------------------------

    def entry_changed(self, entry: DirectoryEntry) -> bool:
        """An instance is listed; returns whether its claim to be primary has changed."""
        self._departed.pop(entry.instance, None)
        self._forgotten.discard(entry.instance)
        view = self.instances.get(entry.instance)
        if view is None:
            self.instances[entry.instance] = InstanceView(entry)
            return True
        changed = view.entry.claims_primary != entry.claims_primary or not view.listed
        view.entry = entry
        view.listed = True
        view.lapsed = False
        return changed

    def entry_gone(self, instance: str, now: float, lapsed: bool = False) -> None:
        """An instance is no longer listed; it may still run for a while.

        `lapsed` tells that nobody saw the entry go: it may come back with the directory.
        """
        view = self.instances.get(instance)
        if view is not None and view.listed:
            view.listed = False
            view.lapsed = lapsed
            view.gone_at = now

    def forget_old(self, now: float) -> list[str]:
        """Drop instances that left long ago, and whose log others have; returns their names."""
        old = [
            name
            for name, view in self.instances.items()
            if not view.listed and self._outlived(view.gone_at, now)
        ]
        for name in old:
            del self.instances[name]
        # Of these nothing but their names is known here, so that nothing could show more.
        departed = [name for name, at in self._departed.items() if now - at > MAY_CONFIRM_SECONDS]
        for name in departed:
            del self._departed[name]
        self._forgotten.update(old, departed)
        return old

    def promotion_read(self, record: PromotionRecord | None, now: float) -> None:
        """The roster names the last promotion."""
        if record != self.last_promotion:
            self.last_promotion = record
            self._promotion_read_at = now

    def successor_may_lead(self, instance: str, term: int) -> bool:
        """Whether another instance was promoted since a term, and may lead out of sight.

        Guards against a proxy on the side of an old primary: what it reaches knows of no later
        term. An instance that has answered since, in a lower term, does not lead.
        """
        last = self.last_promotion
        if last is None or last.term <= term or last.instance == instance:
            return False
        view = self.instances.get(last.instance)
        if view is None or not view.listed:
            return False
        status = view.status
        answered = status is not None and status.asked_at >= self._promotion_read_at
        return not (answered and status is not None and status.term < last.term)

    def to_forget(self, now: float) -> bool:
        """Whether an instance left so long ago that only the others' logs speak against it."""
        gone = [view.gone_at for view in self.instances.values() if not view.listed]
        return any(now - at > MAY_CONFIRM_SECONDS for at in gone)

    def _outlived(self, gone_at: float, now: float) -> bool:
        """Whether what an instance may have confirmed alone is held by others.

        Guards against a primary that is down since, whose commits no other instance has: it has to
        come back before the departed one counts no longer.
        """
        ended_at = gone_at + MAY_CONFIRM_SECONDS
        if now <= ended_at:
            return False
        if self._term_began_after > ended_at:
            return True
        held = self._end_of_primary_log(ended_at)
        if held is None:
            return False
        holding = [
            view
            for view in self.instances.values()
            if view.listed and view.status is not None and view.status.received >= held
        ]
        # The primary itself, and those that must have received a commit.
        return len(holding) > max(self.settings.synchronous_replicas, 1)

    def _end_of_primary_log(self, since: float) -> Position | None:
        """The least end of the primary's log that was told after a time."""
        told = [
            view.status.received
            for name, view in self.instances.items()
            if view.status is not None
            and view.status.asked_at >= since
            and self.primary_term(name) == self._led_term
        ]
        return min([*told, *self._samples_since(since)], default=None)

    def _samples_since(self, since: float) -> list[Position]:
        return [sample.position for sample in self._samples if sample.at >= since][:1]

    def roster_read(self, members: Iterable[str], now: float) -> None:
        """The group's roster names these; those not seen here left before, some time ago."""
        for name in members:
            if name not in self.instances and name not in self._forgotten:
                self._departed.setdefault(name, now)

    def roster(self, held: Iterable[str]) -> tuple[str, ...]:
        """What the group's roster should name, sorted, where it names `held` now.

        Only what is listed is added and only what this proxy saw leave long ago is taken off, so
        that proxies that know different things do not undo each other's changes.
        """
        listed = {name for name, view in self.instances.items() if view.listed}
        return tuple(sorted(set(held) - self._forgotten - self.heirs().keys() | listed))

    # --- what instances tell ------------------------------------------------------------------

    def take_status(self, status: InstanceStatus) -> None:
        """An instance told its status."""
        view = self.instances.get(status.instance)
        if view is None:
            return
        if view.status is None or view.status.asked_at <= status.asked_at:
            view.status = status
        view.unreachable_since = None
        view.heard_at = max(view.heard_at, status.asked_at)
        if status.term > self._led_term:
            self._led_term = status.term
            self._term_began_after = self._led_until + _SHORTEST_PROMOTION_SECONDS

    def answered(self, instance: str, now: float) -> None:
        """An instance answered anything."""
        view = self.instances.get(instance)
        if view is not None:
            view.unreachable_since = None
            view.heard_at = now

    def unreachable(self, instance: str, now: float) -> None:
        """An instance did not answer or its connection broke."""
        view = self.instances.get(instance)
        if view is not None:
            if view.unreachable_since is None:
                view.unreachable_since = now
            view.avoid_until = max(view.avoid_until, now + _UNREACHABLE_PAUSE_SECONDS)

    def behind(self, instance: str, floor: Position, now: float) -> None:
        """A replica lacked a floor: let it catch up.

        Reads that need less still go there. Most do: with sessions that have just written, a
        replica is found behind many times a second, and all reads would run on the primary.
        """
        view = self.instances.get(instance)
        if view is not None:
            view.note_behind(floor, now)

    def busy(self, instance: str, now: float) -> None:
        """An instance refused work beyond its queue."""
        view = self.instances.get(instance)
        if view is not None:
            view.busy_at = now
            view.avoid_until = max(view.avoid_until, now + _BUSY_PAUSE_SECONDS)

    def not_primary(self, instance: str, now: float) -> None:
        """An instance refused a write: it leads no longer."""
        view = self.instances.get(instance)
        if view is None:
            return
        if view.status is not None:
            view.status = replace(view.status, role=InstanceRole.REPLICA, asked_at=now)

    # --- primary ------------------------------------------------------------------------------

    def primary_term(self, instance: str) -> int:
        """The term in which an instance leads, 0 where it is not known to lead."""
        view = self.instances.get(instance)
        if view is None or view.status is None:
            return 0
        return view.status.term if view.status.role is InstanceRole.PRIMARY else 0

    def primary(self, now: float) -> PrimaryView | None:
        """The usable and reachable instance that leads in the newest term.

        Only an instance's own word makes it primary: the directory lags, and a primary that is cut
        off goes on claiming its lead there.
        """
        best: PrimaryView | None = None
        for name, view in self.instances.items():
            term = self.primary_term(name)
            reachable = view.unreachable_since is None
            if term and reachable and view.usable(now) and (best is None or term > best.term):
                best = PrimaryView(name, term)
        if best is None or best.term < self.newest_led_term:
            return None
        return best

    @property
    def newest_led_term(self) -> int:
        """The highest term that some instance was ever in; a fence alone is no new term."""
        return self._led_term

    def unclear(self) -> list[str]:
        """Instances to ask for their status: those whose listed role is not what they told."""
        result = []
        for name, view in self.instances.items():
            leads = self.primary_term(name) > 0
            if view.listed and (view.status is None or leads != view.entry.claims_primary):
                result.append(name)
        return result

    def replicas(self, now: float) -> list[str]:
        """Usable instances other than the primary, the nearest first."""
        primary = self.primary(now)
        led = primary.instance if primary else ""
        names = [name for name, view in self.instances.items() if name != led and view.usable(now)]
        return sorted(names, key=lambda name: self._preference(name, now))

    def _preference(self, name: str, now: float) -> tuple[bool, bool, bool]:
        view = self.instances[name]
        return (
            view.unreachable_since is not None,
            view.avoid_until > now,
            view.entry.zone != self._zone,
        )

    def may_confirm(self) -> list[str]:
        """Instances that may have confirmed commits of the present term.

        Commits of earlier terms are in the log of the present primary, else it would not lead. An
        instance that left counts for a while: it serves on after its entry has gone, and its entry
        also goes while it is only cut off from the directory. One that neither this proxy nor the
        directory has heard of since the present term began does not count. When that was is bounded
        by the last proof that the primary of the term before still led.
        """
        present = [name for name, view in self.instances.items() if self._may_have_confirmed(view)]
        heirs = self.heirs()
        return [name for name in (*present, *self._departed) if name not in heirs]

    def heirs(self) -> dict[str, str]:
        """For each instance that has ended, the one at its address: its log has passed to that one.

        Gains the count of a group whose instances are replaced one after the other: each that
        left would else be missed for `MAY_CONFIRM_SECONDS`.
        """
        listed = {view.address: name for name, view in self.instances.items() if view.listed}
        return {
            name: listed[view.address]
            for name, view in self.instances.items()
            if not view.listed and view.address in listed
        }

    def fenced_above(self, term: int) -> list[str]:
        """Listed replicas that were last seen with a fence above a term."""
        return [
            name
            for name, view in self.instances.items()
            if view.listed and view.status is not None and view.status.fence_term > term
        ]

    def absent(self, now: float) -> list[str]:
        """Instances that `may_confirm` leaves out, though they left not long ago.

        After that long they are taken as gone: else a group that lost several instances for good
        would never have a primary again.
        """
        heirs = self.heirs()
        return [
            name
            for name, view in self.instances.items()
            if not self._may_have_confirmed(view)
            and now - view.gone_at <= MAY_CONFIRM_SECONDS
            and name not in heirs
        ]

    def how_known(self, now: float) -> dict[str, str]:
        """By what each instance that may hold commits is known, and how old that knowledge is.

        For the log of a change of primary; `uncounted` are those that `may_confirm` leaves out.
        """
        told: dict[str, str] = {}
        for name, view in self.instances.items():
            source = "listed" if view.listed else f"gone:{now - view.gone_at:.3f}s"
            heard = f"heard:{now - view.heard_at:.3f}s" if view.heard_at > 0 else "never_heard"
            counted = "" if self._may_have_confirmed(view) else ":uncounted"
            told[name] = f"{source}:{heard}{counted}"
        for name, at in self._departed.items():
            told[name] = f"roster:{now - at:.3f}s"
        return told

    def _may_have_confirmed(self, view: InstanceView) -> bool:
        last_renewal = view.gone_at - self._entry_outlives
        return view.listed or max(view.heard_at, last_renewal) >= self._term_began_after

    # --- floors -------------------------------------------------------------------------------

    def prove(self, at: float, position: Position | None) -> None:
        """A position told by the primary for a request sent `at` is proven."""
        self._led_until = max(self._led_until, at)
        if position is None:
            return
        if self._samples and at < self._samples[-1].at + _SAMPLE_SPACING_SECONDS:
            return
        self._samples.append(_Sample(at, position))

    def proven_floor(self, since: float) -> Position | None:
        """The least proven position that holds every commit acknowledged before `since`."""
        for sample in self._samples:
            if sample.at >= since:
                return sample.position
        return None

    def plan_read(
        self,
        database: DatabaseRoute,
        session_floor: Position | None,
        arrived_at: float,
        now: float,
        excluded: Iterable[str],
    ) -> ReadPlan | None:
        """Where a read runs next, None while no instance may serve it."""
        primary = self.primary(now)
        refused = set(excluded)
        if database.consistency is not ReadConsistency.LATEST:
            floor = self.proven_floor(arrived_at - database.staleness)
            if floor is not None:
                if database.consistency is ReadConsistency.SESSION and session_floor is not None:
                    floor = max(floor, session_floor)
                replica = self._replica_for_read(refused, now, primary, floor)
                if replica is not None:
                    return ReadPlan(replica, floor)
        if primary is None:
            return None
        return ReadPlan(primary.instance, None, primary.term)

    def _replica_for_read(
        self, refused: set[str], now: float, primary: PrimaryView | None, floor: Position
    ) -> str | None:
        takes_over = primary is not None and not self._busy_lately(primary.instance, now)
        for name in self.replicas(now):
            view = self.instances[name]
            if name in refused or view.unreachable_since is not None:
                continue
            if view.lacks(floor, now) and primary is not None:
                continue
            if view.avoid_until > now and takes_over:
                continue
            return name
        return None

    def _busy_lately(self, instance: str, now: float) -> bool:
        """Whether an instance has just refused work: reads that can wait are not sent there."""
        return now - self.instances[instance].busy_at < _BUSY_LATELY_SECONDS

"""The store of the model: directory, rosters, promotion lock, and the registry of lead leases.

Its answers are linearizable. It may be down, a call may be slow, its answer may be lost, and a
writing call whose answer is lost may be carried out seconds later if its condition still holds.
It may come back from an older copy: what was written since is lost, and its revisions are given out
again. Conditions compare bare revisions, so a late call may meet one that was given out twice.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from enum import Enum, unique
from functools import partial

from msgspec.structs import replace

from orchidwind.promoted.core.promotion_lock import LockRecord
from orchidwind.promoted.core.roster import Roster
from orchidwind.promoted.core.store_revision import StoreRevision
from orchidwind.promoted.ports import LeaseConfirmation
from orchidwind.promoted.store_era import StoreEra
from orchidwind_bench.promoted.exploration.choices import Choices
from orchidwind_bench.promoted.exploration.instances import ModelInstance
from orchidwind_bench.promoted.exploration.network import STORE, WAY_SECONDS, ModelNetwork
from orchidwind_bench.promoted.exploration.timeline import Answers, Process, Timeline

# When a proxy gives up a call of the store, in seconds; as in the product's settings.
CALL_SECONDS = 1.0
# A watch tells of a change after one of these, in seconds.
WATCH_SECONDS = {"soon": 0.01, "late": 0.4}
# A watch that did not get through is tried again after this, in seconds.
WATCH_AGAIN_SECONDS = 0.4
# An instance's entry follows its start after one of these, in seconds.
ENTRY_SECONDS = {"soon": 0.05, "later": 0.5, "much later": 1.5}
# An entry goes after three heartbeats of 1.2 s without a sign of life.
ENTRY_OUTLIVES_SECONDS = 3.6
# An entry that has lapsed with the store is back so long after the store, in seconds.
LAPSED_SECONDS = 2.0
# After these, in seconds, a writing call is carried out whose answer was lost.
LATE_WRITES_SECONDS = (0.0, 0.8, 2.5)
SLOW_SECONDS = 0.3
# An instance that runs writes its entry again so long after a return of the store, in seconds.
AGAIN_SECONDS = {"soon": 0.05, "later": 0.6, "much later": 1.9}


@unique
class CallFate(Enum):
    """What becomes of a call of the store."""

    ANSWERED = "answered"
    SLOW = "slow"
    ANSWER_LOST = "answer lost"
    CARRIED_OUT_LATE = "carried out late"
    CARRIED_OUT_VERY_LATE = "carried out very late"
    NOT_DONE = "not done"


_FATES = tuple(fate.value for fate in CallFate)
_READ_FATES = tuple(fate.value for fate in (CallFate.ANSWERED, CallFate.SLOW, CallFate.NOT_DONE))


@dataclass(frozen=True, slots=True)
class Entry:
    """An instance as the directory lists it."""

    instance: str
    port: int
    claims_primary: bool
    draining: bool
    revision: int


@dataclass(frozen=True, slots=True)
class StoreCopy:
    """What the store held from a time on, in seconds."""

    since: float
    revision: int
    entries: dict[str, Entry]
    roster: Roster | None
    leases: dict[str, LeaseConfirmation]


@dataclass(frozen=True, slots=True)
class Conflict:
    """The condition of a writing call did not hold."""


class ModelStore:
    """The store."""

    def __init__(self, timeline: Timeline, network: ModelNetwork, choices: Choices) -> None:
        self._timeline = timeline
        self._network = network
        self._choices = choices
        self.down_until = 0.0
        self.revision = 1
        self.era = 0
        self.entries: dict[str, Entry] = {}
        self.lock: LockRecord | None = None
        self.roster: Roster | None = None
        self.leases: dict[str, LeaseConfirmation] = {}
        # What each proxy that runs knows of the era.
        self.known_eras: dict[str, StoreEra] = {}
        self._copies: list[StoreCopy] = []
        self._watchers: dict[str, Callable[[], None]] = {}
        self._notified: set[str] = set()

    def reaches(self, proxy: str) -> bool:
        """Whether a proxy reaches the store now."""
        up = self.down_until <= self._timeline.now
        return up and self._network.passes(proxy, STORE)

    # --- directory ----------------------------------------------------------------------------

    def tell(self, instance: ModelInstance) -> None:
        """An instance writes what it is; it is listed now, if the store is there."""
        if not instance.runs:
            return
        if self.down_until > self._timeline.now:
            wait = self.down_until - self._timeline.now
            self._timeline.after(wait + WAY_SECONDS, lambda: self.tell(instance))
            return
        primary = instance.role.value == "primary"
        held = self.entries.get(instance.name)
        if held is not None and (held.claims_primary, held.draining) == (
            primary,
            instance.draining,
        ):
            return
        self.revision += 1
        entry = Entry(instance.name, instance.port, primary, instance.draining, self.revision)
        self.entries[instance.name] = entry
        self.changed()

    def list_later(self, instance: ModelInstance) -> None:
        """An instance has begun: its entry follows after a while."""
        which = self._choices.pick("entry", instance.name, tuple(ENTRY_SECONDS))
        self._timeline.after(ENTRY_SECONDS[which], lambda: self.tell(instance))

    def drop_silent(self, instance: ModelInstance, seconds: float) -> None:
        """An instance's entry goes, if it still does not run then."""

        def drop() -> None:
            if not instance.runs and self.entries.pop(instance.name, None) is not None:
                self.revision += 1
                self.changed()

        self._timeline.after(seconds, drop)

    def go_down(self, seconds: float, lapsing: tuple[ModelInstance, ...]) -> None:
        """Answer nobody for some seconds; some entries lapse meanwhile."""
        self.down_until = max(self.down_until, self._timeline.now + seconds)
        for instance in lapsing:
            if self.entries.pop(instance.name, None) is not None:
                self.revision += 1
            self._timeline.after(seconds + LAPSED_SECONDS, partial(self.tell, instance))
        self._timeline.after(seconds + WAY_SECONDS, self.changed)

    # --- copies -------------------------------------------------------------------------------

    def _keep_copy(self) -> None:
        self._copies.append(
            StoreCopy(
                self._timeline.now,
                self.revision,
                dict(self.entries),
                self.roster,
                dict(self.leases),
            )
        )

    def come_back(self, age_seconds: float, instances: tuple[ModelInstance, ...]) -> None:
        """Hold what was held some seconds ago; instances that run write again what was lost."""
        taken_at = self._timeline.now - age_seconds
        older = [copy for copy in self._copies if copy.since <= taken_at]
        copy = older[-1] if older else self._copies[0]
        self.era += 1
        self.revision = copy.revision
        self.entries = dict(copy.entries)
        self.leases = dict(copy.leases)
        self.lock = None
        self.roster = copy.roster
        if copy.roster is not None:
            revision = StoreRevision.of(self.era, copy.roster.revision.in_era)
            self.roster = replace(copy.roster, revision=revision)
        # An older copy than this one is none of the present era.
        self._copies = []
        self._keep_copy()
        for instance in instances:
            which = self._choices.pick("again", instance.name, tuple(AGAIN_SECONDS))
            self._timeline.after(AGAIN_SECONDS[which], partial(self.tell, instance))
            self.drop_silent(instance, ENTRY_OUTLIVES_SECONDS)
        self.changed()

    # --- watches ------------------------------------------------------------------------------

    def watch(self, proxy: str, on_change: Callable[[], None]) -> None:
        """Tell a proxy of each change, a while later, where it reaches the store then."""
        self._watchers[proxy] = on_change

    def changed(self) -> None:
        """Something has changed: watches tell of it."""
        self._keep_copy()
        for proxy in list(self._watchers):
            if proxy in self._notified:
                continue
            self._notified.add(proxy)
            when = self._choices.pick("watch", proxy, tuple(WATCH_SECONDS))
            self._timeline.after(WATCH_SECONDS[when], partial(self._notify, proxy))

    def _notify(self, proxy: str) -> None:
        self._notified.discard(proxy)
        if self.reaches(proxy):
            self._watchers[proxy]()
        else:
            self._notified.add(proxy)
            self._timeline.after(WATCH_AGAIN_SECONDS, lambda: self._notify(proxy))

    # --- calls --------------------------------------------------------------------------------

    def call(
        self, proxy: str, name: str, operation: Callable[[], object], writes: bool
    ) -> Process[object | None]:
        """Carry out an operation at the store; None where no answer came in time."""
        fates = _FATES if writes else _READ_FATES
        fate = CallFate(self._choices.pick("store", f"{name}:{proxy}", fates))
        answers = Answers({"answer"}, self._timeline.now + CALL_SECONDS)
        way = SLOW_SECONDS if fate is CallFate.SLOW else WAY_SECONDS
        lost = False
        if fate in (CallFate.ANSWER_LOST, CallFate.NOT_DONE):
            lost = True
        elif fate is CallFate.CARRIED_OUT_LATE:
            way, lost = LATE_WRITES_SECONDS[1], True
        elif fate is CallFate.CARRIED_OUT_VERY_LATE:
            way, lost = LATE_WRITES_SECONDS[2], True

        def arrive() -> None:
            if not self.reaches(proxy) or fate is CallFate.NOT_DONE:
                return
            answer, era = operation(), self.era

            def deliver() -> None:
                # As in the product, an answer of an earlier era than is known says nothing.
                if self.known_eras[proxy].saw(era, STORE):
                    answers.deliver("answer", answer)

            if not lost:
                self._timeline.after(way, deliver)

        self._timeline.after(way, arrive)
        yield answers
        return answers.got.get("answer")

    @property
    def at(self) -> StoreRevision:
        """The present place in the store's history."""
        return StoreRevision.of(self.era, self.revision)

    @property
    def lock_now(self) -> LockRecord:
        """The promotion lock, which may be absent."""
        return self.lock or LockRecord.absent(self.era)

    def write_lock(self, record: LockRecord) -> LockRecord | Conflict:
        """Replace the lock, if its revision is still the record's; 0: there is none yet."""
        if self.lock_now.revision != record.revision:
            return Conflict()
        self.revision += 1
        self.lock = replace(record, revision=self.at)
        self.changed()
        return self.lock

    def confirm(self, confirmation: LeaseConfirmation) -> bool:
        """A proxy registers, or tells that it dropped its lease; whatever it wrote before goes."""
        self.leases[confirmation.proxy] = confirmation
        self._keep_copy()
        return True

    def write_roster(self, roster: Roster) -> Roster | Conflict:
        """Replace the group's roster, if its revision is still this one's; 0: none yet."""
        held = self.roster.revision.in_era if self.roster is not None else 0
        if held != roster.revision.in_era:
            return Conflict()
        self.revision += 1
        self.roster = replace(roster, revision=self.at)
        self.changed()
        return self.roster

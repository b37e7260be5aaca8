"""Decides which home runs a command, and whether a refused one is tried at another. No I/O.

A front learns from the answers of the homes what each of them cannot serve now. It keeps this as
soft state: a home that lacks a primary is passed over until it serves such a command again, or
until no refusal has come for `FORGET_SECONDS`. Without news a home counts as able. A refused
command is tried at most once more, and only if nothing of it can have reached an instance.

A write refused because the primary that its home reaches confirms no commits would have an unknown
outcome if another home sent it to the same primary. It goes only to a home that has served writes
since, but for one a second that finds out (`EXPLORE_SECONDS`).

A home runs a forwarded command itself, so a command passes at most one second home. Times are in
seconds of one monotonic clock.
"""

from __future__ import annotations

from collections.abc import Iterable
from enum import Enum, unique

from msgspec import Struct

from orchidwind.promoted.core.configuration import ReadConsistency
from orchidwind.shared.core.errors import ErrorKind

# A home that lacks an instance counts as able again this long after its last refusal.
FORGET_SECONDS = 2.0
# Interval of the commands that find out whether a home is able again.
PROBE_SECONDS = 0.25
# Such a command may wait at the home for this long: a few round trips.
PROBE_HOLD_SECONDS = 0.05
# A full home takes no commands refused elsewhere for this long; queues change within it.
FULL_SECONDS = 0.1
# A home is known to have room for this long after it served a command of the same demand.
ROOM_KNOWN_SECONDS = 0.25
# Interval of the writes that try a home of which nothing is known although their own home reaches a
# primary that confirms no commits. Each may end with an unknown outcome.
EXPLORE_SECONDS = 1.0
# Time that must be left for a second attempt: the way to another zone, a short wait, a statement.
MINIMUM_LEFT_SECONDS = 0.1
# Second attempts per command of a group at one front, on average, and how many may be saved up.
REROUTED_SHARE = 0.1
REROUTED_BURST = 10.0


@unique
class Lack(Enum):
    """Why a home cannot serve a command now; the values appear in logs and metrics."""

    PRIMARY = "no_primary"
    REPLICA = "no_replica"
    HOME = "no_home"
    ROOM = "overloaded"


_LACKS = {
    ErrorKind.NO_PRIMARY: Lack.PRIMARY,
    ErrorKind.NO_REPLICA: Lack.REPLICA,
    ErrorKind.NO_HOME: Lack.HOME,
    ErrorKind.OVERLOADED: Lack.ROOM,
}


class Demand(Struct, frozen=True):
    """What a command needs of a home: writes, or reads of one consistency (None for writes)."""

    group: str
    reads: ReadConsistency | None


class HomeRefusal(Struct, frozen=True):
    """The refusal of a command by a home; `sent` is whether anything may have gone to an instance.

    `found_none`: the home reaches no instance for the command. If false, it may reach a primary
    that confirms no commits.
    `in_transaction`: the command belongs to a transaction. `seconds_left`: until its deadline.
    `probe`: it was sent there to find out whether the home is able again.
    """

    home: str
    kind: ErrorKind
    sent: bool
    found_none: bool
    in_transaction: bool
    seconds_left: float
    probe: bool = False


class HomeChoice(Struct, frozen=True):
    """The home that runs a command; as a `probe`, the command may wait there only briefly."""

    home: str
    probe: bool = False


class KnownLack(Struct):
    """What a home lacks for one demand, since its first refusal at `since`.

    `unconfirmed`: it reaches a primary that may confirm nothing; see the module's text on writes.
    """

    lack: Lack
    unconfirmed: bool
    since: float
    refused_at: float
    probed_at: float


def lack_of(kind: ErrorKind) -> Lack | None:
    """What a home lacks that refused a command with this kind; None if it lacks nothing."""
    return _LACKS.get(kind)


def may_try_again(refusal: HomeRefusal, small_tenant: bool) -> bool:
    """Whether a refused command may be tried at another home.

    `small_tenant`: the caller's tenant has connections at one home only. Its commands stay there
    when that home is full. A probe is tried again also then, and if it got no connection in time.
    """
    lack = lack_of(refusal.kind)
    allowed = lack is not None and not (lack is Lack.ROOM and small_tenant)
    if refusal.probe:
        allowed = lack is not None or refusal.kind is ErrorKind.DEADLINE_PASSED
    if not allowed:
        return False
    if refusal.sent or refusal.in_transaction:
        return False
    return refusal.seconds_left >= MINIMUM_LEFT_SECONDS


class RerouteBudget:
    """Limits second attempts to `REROUTED_SHARE` of the commands plus `REROUTED_BURST`."""

    def __init__(self) -> None:
        self._tokens = REROUTED_BURST

    def earn(self) -> None:
        """Count a command that is sent to its first home."""
        self._tokens = min(self._tokens + REROUTED_SHARE, REROUTED_BURST)

    def spend(self) -> bool:
        """Take a token for a second attempt; return whether there was one."""
        if self._tokens < 1.0:
            return False
        self._tokens -= 1.0
        return True


class HomeNews:
    """What one front knows of the homes. Its size is bounded by homes times demands."""

    def __init__(self) -> None:
        self._known: dict[tuple[Demand, str], KnownLack] = {}
        self._served_at: dict[tuple[Demand, str], float] = {}
        self._explored_at: dict[Demand, float] = {}

    def refused(self, demand: Demand, refusal: HomeRefusal, now: float) -> None:
        """Record that a home refused a command of which nothing was sent."""
        lack = lack_of(refusal.kind)
        if lack is None or refusal.sent:
            return
        unconfirmed = lack is Lack.PRIMARY and demand.reads is None and not refusal.found_none
        known = self._lacking(demand, refusal.home, now)
        if known is None:
            self._known[demand, refusal.home] = KnownLack(lack, unconfirmed, now, now, now)
            return
        if lack is Lack.ROOM and known.lack is not Lack.ROOM:
            # A home with a full queue reaches an instance, but that does not show that it is able.
            return
        known.lack, known.refused_at = lack, now
        known.unconfirmed = known.unconfirmed or unconfirmed

    def served(self, demand: Demand, home: str, now: float) -> None:
        """Record that a home served a command."""
        self._known.pop((demand, home), None)
        self._served_at[demand, home] = now

    def _lacking(self, demand: Demand, home: str, now: float) -> KnownLack | None:
        known = self._known.get((demand, home))
        if known is None:
            return None
        if now - known.refused_at >= (FULL_SECONDS if known.lack is Lack.ROOM else FORGET_SECONDS):
            del self._known[demand, home]
            return None
        return known

    def first_home(
        self,
        demand: Demand,
        homes: Iterable[str],
        budget: RerouteBudget,
        now: float,
        may_probe: bool = True,
    ) -> HomeChoice | None:
        """Choose the home of a command from those usable, in the order of preference.

        The homes are looked at only as far as needed. A full home still is the first home of its
        commands. If no home is known to be better, the first one is chosen, as without news. A
        probe spends a token of the budget, for its second attempt. `may_probe`: whether the command
        could be tried again.
        """
        passed: list[str] = []
        for home in homes:
            known = self._lacking(demand, home, now)
            able = known is None or known.lack is Lack.ROOM
            if able and all(self._may_replace(demand, home, other) for other in passed):
                probe = self._probe(demand, passed, budget, now) if may_probe else None
                return probe or HomeChoice(home)
            if not able:
                passed.append(home)
        return HomeChoice(passed[0]) if passed else None

    def _may_replace(self, demand: Demand, home: str, lacking: str) -> bool:
        """Whether a home may get the commands of a lacking one, by what is known of it."""
        known = self._known.get((demand, lacking))
        if known is None:
            return True
        return not known.unconfirmed or self._last_served(demand, home) > known.since

    def _last_served(self, demand: Demand, home: str) -> float:
        return self._served_at.get((demand, home), float("-inf"))

    def _probe(
        self, demand: Demand, passed: list[str], budget: RerouteBudget, now: float
    ) -> HomeChoice | None:
        """Return the first of the homes passed over that is due to be tried again, if any."""
        for home in passed:
            known = self._known[demand, home]
            if now - known.probed_at >= PROBE_SECONDS and budget.spend():
                known.probed_at = now
                return HomeChoice(home, probe=True)
        return None

    def second_home(
        self, demand: Demand, homes: Iterable[str], refused_by: str, now: float
    ) -> str | None:
        """Choose another home for a refused command; None if there is none.

        A command that found its home full goes only to a home known to have room.
        """
        known = self._known.get((demand, refused_by))
        full = known is not None and known.lack is Lack.ROOM
        unknown: str | None = None
        for home in homes:
            if home == refused_by or self._lacking(demand, home, now) is not None:
                continue
            if full:
                if now - self._last_served(demand, home) <= ROOM_KNOWN_SECONDS:
                    return home
                continue
            if self._may_replace(demand, home, refused_by):
                return home
            unknown = unknown or home
        if now - self._explored_at.get(demand, float("-inf")) < EXPLORE_SECONDS:
            return None
        if unknown is not None:
            self._explored_at[demand] = now
        return unknown

    def lacking(self, group: str, now: float) -> list[str]:
        """The homes of a group known to lack something, each with what it lacks, for operators."""
        found = {
            f"{home}:{known.lack.value}"
            for (demand, home), known in list(self._known.items())
            if demand.group == group and self._lacking(demand, home, now) is not None
        }
        return sorted(found)

"""The members known to a node, and the rules by which newer information about a member wins.

Owns the table, the node's own entry, and the times at which a suspect is declared dead and a dead
member is forgotten. A suspected member refutes the suspicion with a higher incarnation; only the
member itself raises its incarnation. News is returned to the calling code, which spreads it. Times
are in seconds of the node's monotonic clock.
"""

from __future__ import annotations

import math
from collections.abc import Iterator
from dataclasses import dataclass, replace
from enum import IntEnum, unique

from orchidwind.elected.core.membership_settings import MembershipSettings


@unique
class MemberState(IntEnum):
    """Member states; at the same incarnation a higher state overrides a lower one."""

    ALIVE = 0
    SUSPECT = 1
    DEAD = 2


@dataclass(frozen=True, slots=True)
class Member:
    """One proxy, as known to a node."""

    name: str
    zone: str
    host: str
    peer_port: int
    gossip_port: int
    state: MemberState = MemberState.ALIVE
    incarnation: int = 0
    leaving: bool = False

    def overrides(self, other: Member) -> bool:
        """Whether this entry is newer than `other`."""
        return (self.incarnation, self.state) > (other.incarnation, other.state)


@dataclass(frozen=True, slots=True)
class News:
    """A member entry to spread; `urgent` news is sent to some members at once."""

    member: Member
    urgent: bool = False


class MemberTable:
    """All members known to one node, including itself."""

    def __init__(self, own: Member, settings: MembershipSettings) -> None:
        self.own = own
        self.members: dict[str, Member] = {own.name: own}
        self._settings = settings
        self._suspect_until: dict[str, float] = {}
        self._forget_at: dict[str, float] = {}
        self._changed = False

    # --- queries ------------------------------------------------------------------------------

    def usable(self) -> list[Member]:
        """Members that may be homes: alive or suspected, and not leaving."""
        return [member for member in self.reachable() if not member.leaving]

    def reachable(self) -> list[Member]:
        """Members that are not dead, including those that are leaving."""
        return [member for member in self.members.values() if member.state != MemberState.DEAD]

    def others(self) -> list[Member]:
        """Reachable members except this node."""
        return [member for member in self.reachable() if member.name != self.own.name]

    def pop_changed(self) -> bool:
        """Whether anything that affects placement or links has changed since the last call."""
        changed, self._changed = self._changed, False
        return changed

    def deadline(self) -> float:
        """When the next suspect is declared dead, infinity if there is none."""
        return min(self._suspect_until.values(), default=float("inf"))

    # --- updates ------------------------------------------------------------------------------

    def learn(self, now: float, member: Member, from_itself: bool = False) -> News | None:
        """Apply information about a member; returns the news to spread, None if there is none.

        `from_itself` means that the member sent it.
        """
        if member.name == self.own.name:
            return self._refute(member)
        known = self.members.get(member.name)
        if known is None and member.state == MemberState.DEAD:
            return None
        if known is not None and not member.overrides(known):
            # A sender that is suspected or dead must learn of it, so that it can refute it.
            outdated = from_itself and known.state != MemberState.ALIVE
            return News(known) if outdated else None
        self._put(now, member)
        if known is None or _placement_fields(known) != _placement_fields(member):
            self._changed = True
        return News(member, urgent=known is not None and _is_urgent(known, member))

    def leave(self) -> News:
        """Mark this node as leaving, so that it is no longer placed as a home; returns the news."""
        return self._set_own(replace(self.own, leaving=True, incarnation=self.own.incarnation + 1))

    def expire_suspects(self, now: float) -> Iterator[News]:
        """Declare suspects dead that did not refute in time; yields the news."""
        for name, due in list(self._suspect_until.items()):
            if now >= due:
                news = self.learn(now, replace(self.members[name], state=MemberState.DEAD))
                if news is not None:
                    yield news

    def forget_dead(self, now: float) -> None:
        """Drop members that have been dead for longer than `forget_dead_after`."""
        for name, due in list(self._forget_at.items()):
            if now >= due:
                del self._forget_at[name]
                self.members.pop(name, None)

    def _put(self, now: float, member: Member) -> None:
        self.members[member.name] = member
        self._suspect_until.pop(member.name, None)
        self._forget_at.pop(member.name, None)
        if member.state == MemberState.SUSPECT:
            self._suspect_until[member.name] = now + self._suspicion_seconds()
        if member.state == MemberState.DEAD:
            self._forget_at[member.name] = now + self._settings.forget_dead_after

    def _suspicion_seconds(self) -> float:
        """Grows with the number of members, since a refutation takes longer to reach all."""
        scale = max(1.0, math.log10(max(len(self.members), 2)))
        return self._settings.suspicion_periods * scale * self._settings.period

    def _refute(self, claim: Member) -> News | None:
        """Override a wrong claim about this node; returns the news, None if the claim is right."""
        if claim.incarnation < self.own.incarnation:
            return None
        differs = claim.state != MemberState.ALIVE or claim.leaving != self.own.leaving
        restarted = (claim.host, claim.peer_port) != (self.own.host, self.own.peer_port)
        if claim.incarnation > self.own.incarnation or differs or restarted:
            return self._set_own(replace(self.own, incarnation=claim.incarnation + 1))
        return None

    def _set_own(self, own: Member) -> News:
        self._changed = self._changed or own.leaving != self.own.leaving
        self.own = own
        self.members[own.name] = own
        return News(own, urgent=True)


def _is_urgent(known: Member, member: Member) -> bool:
    """Whether the member became or ceased to be gone, or has refuted a suspicion."""
    gone = member.leaving or member.state == MemberState.DEAD
    was_gone = known.leaving or known.state == MemberState.DEAD
    refuted = known.state != MemberState.ALIVE and member.state == MemberState.ALIVE
    return gone != was_gone or refuted


def _placement_fields(member: Member) -> tuple[bool, bool, str, int, str]:
    """The parts of an entry that placement and links depend on."""
    dead = member.state == MemberState.DEAD
    return dead, member.leaving, member.host, member.peer_port, member.zone

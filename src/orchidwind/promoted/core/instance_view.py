"""One instance of a promoted group as this proxy sees it. No I/O, no clock.

What for: whether new work may go to an instance now, by its directory entry and by its answers.
Owns: the entry, the last status, and the pauses after refusals. Relies on: `topology`, which passes
on what the directory and the instance say. Times are in seconds of the steady clock.
"""

from __future__ import annotations

from msgspec import Struct

from orchidwind.promoted.core.commands import InstanceRole, InstanceStatus
from orchidwind.promoted.core.configuration import DirectoryEntry
from orchidwind.shared.core.positions import Position

# Seconds for which an instance still gets work after its entry has gone: it goes on serving, and
# its entry also goes when it is only cut off from the directory. Requests that fail
# there are run elsewhere.
GONE_USABLE_SECONDS = 2.0
# Seconds for which a replica gets no read that needs a position it lacked. Some times the
# 60 ms by which replicas lagged where reads piled up on the primary.
_BEHIND_PAUSE_SECONDS = 0.15
# Seconds for which others are preferred to an instance that refused work beyond its queue.
# Short, so that an instance whose queue has room again is not left idle.
_BUSY_PAUSE_SECONDS = 0.02
# Seconds for which a primary that refused work counts as having no room, so that replicas are not
# passed over for it: a full queue of the first users' instances takes 0.1 to 0.3 s to run empty.
_BUSY_RECENTLY_SECONDS = 0.3
# Seconds for which others are preferred to an instance that did not answer. By then a
# status query (`supervision`) has shown whether it is back.
_UNREACHABLE_PAUSE_SECONDS = 1.0


class InstanceView(Struct):
    """One instance: its entry, and what its answers show.

    `listed`: its entry is in the directory; else `gone_at` is when it went, and `removal_unseen`
    that it was missing when the directory was read as a whole, so it may come back with it.
    `ended`: it has started anew since, with another name and without its log. `avoid_until`: others
    are preferred until then. Until `behind_until` it may lack `behind_position`. `last_answer_at`:
    when it last answered anything, or was sent what it answered.
    """

    entry: DirectoryEntry
    listed: bool = True
    ended: bool = False
    removal_unseen: bool = False
    gone_at: float = 0.0
    status: InstanceStatus | None = None
    avoid_until: float = 0.0
    behind_position: Position | None = None
    behind_until: float = 0.0
    busy_at: float = float("-inf")
    last_answer_at: float = float("-inf")
    unreachable_since: float | None = None

    @property
    def address(self) -> tuple[str, int]:
        """Host and port."""
        return self.entry.host, self.entry.port

    @property
    def led_term(self) -> int:
        """The term in which it leads by its own word, 0 where it does not."""
        if self.status is None or self.status.role is not InstanceRole.PRIMARY:
            return 0
        return self.status.term

    @property
    def reachable(self) -> bool:
        """Whether its last answer came."""
        return self.unreachable_since is None

    def usable(self, now: float) -> bool:
        """Whether new work may go there."""
        if self.entry.draining or self.ended:
            return False
        return self.listed or now - self.gone_at <= GONE_USABLE_SECONDS

    def lacks(self, floor: Position, now: float) -> bool:
        """Whether it was found, a moment ago, to lack a position up to this one."""
        behind = self.behind_position
        return behind is not None and now < self.behind_until and behind <= floor

    def busy_recently(self, now: float) -> bool:
        """Whether it refused work a moment ago: reads that can wait are not sent there."""
        return now - self.busy_at < _BUSY_RECENTLY_SECONDS

    def note_status(self, status: InstanceStatus) -> None:
        """It answered a status query or control call; a newer answer may have come before."""
        if self.status is None or self.status.asked_at <= status.asked_at:
            self.status = status
        self.unreachable_since = None
        self.last_answer_at = max(self.last_answer_at, status.asked_at)

    def note_answer(self, now: float) -> None:
        """It answered anything."""
        self.unreachable_since = None
        self.last_answer_at = now

    def note_unreachable(self, now: float) -> None:
        """It did not answer, or its connection broke."""
        if self.unreachable_since is None:
            self.unreachable_since = now
        self.avoid_until = max(self.avoid_until, now + _UNREACHABLE_PAUSE_SECONDS)

    def note_behind(self, floor: Position, now: float) -> None:
        """It lacked a position: reads that need as much go elsewhere for a while.

        Reads that need less still go there. Most do: with sessions that have just written, a
        replica is found behind many times a second, and all reads would run on the primary.
        """
        known = self.behind_position
        lowest = floor if known is None or now >= self.behind_until else min(known, floor)
        self.behind_position = lowest
        self.behind_until = now + _BEHIND_PAUSE_SECONDS

    def note_busy(self, now: float) -> None:
        """It refused work beyond its queue."""
        self.busy_at = now
        self.avoid_until = max(self.avoid_until, now + _BUSY_PAUSE_SECONDS)

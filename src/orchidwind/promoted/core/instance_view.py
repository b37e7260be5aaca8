"""One instance of a promoted group as this proxy knows it. No I/O, no clock.

Tells whether new requests may be sent to an instance now, by its directory entry and its answers.
Owns: the entry, the last status, and the pauses after refusals. Relies on: `topology`, which passes
on what the directory and the instance report. Times are in seconds of the monotonic clock.
"""

from __future__ import annotations

from msgspec import Struct

from orchidwind.promoted.core.commands import InstanceRole, InstanceStatus
from orchidwind.promoted.core.configuration import DirectoryEntry
from orchidwind.shared.core.positions import Position

# Seconds for which an instance still gets requests after its entry has gone: it goes on serving,
# and its entry also goes when it is only cut off from the directory. Requests that fail there are
# run elsewhere.
GONE_USABLE_SECONDS = 2.0
# Seconds for which a replica gets no read that needs a position it lacked. A few times the 60 ms by
# which replicas lagged when reads piled up on the primary.
_BEHIND_PAUSE_SECONDS = 0.15
# Seconds for which other instances are preferred to one that refused a request because its queue
# was full. Short, so that an instance whose queue has room again is not left idle.
_BUSY_PAUSE_SECONDS = 0.02
# Seconds for which a primary that refused a request counts as full, so that reads do not go to it
# in place of replicas: a full queue of the first users' instances takes 0.1 to 0.3 s to drain.
_BUSY_RECENTLY_SECONDS = 0.3
# Seconds for which other instances are preferred to one that did not answer. By then a status query
# (`supervision`) has shown whether it is back.
_UNREACHABLE_PAUSE_SECONDS = 1.0


class InstanceView(Struct):
    """One instance: its directory entry, and what its answers show.

    `listed`: its entry is in the directory; otherwise `gone_at` is when the entry went, and
    `removal_unseen` tells that it was found missing when the whole directory was read, so that it
    may come back with the directory. `ended`: the instance was restarted as a new incarnation, with
    another name and without its log. `status` also holds what its refusals show; `answered_status`
    is its last answer to a status query or control call, unchanged. `avoid_until`: other instances
    are preferred until then. Until `behind_until` its log may not reach `behind_position`.
    `last_answer_at`: when it last answered any request, or when the answered request was sent.
    """

    entry: DirectoryEntry
    listed: bool = True
    ended: bool = False
    removal_unseen: bool = False
    gone_at: float = 0.0
    status: InstanceStatus | None = None
    answered_status: InstanceStatus | None = None
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
        """The term in which it leads by its own answer, 0 if it does not lead."""
        if self.status is None or self.status.role is not InstanceRole.PRIMARY:
            return 0
        return self.status.term

    @property
    def reachable(self) -> bool:
        """Whether its last request was answered."""
        return self.unreachable_since is None

    def usable(self, now: float) -> bool:
        """Whether new requests may be sent to it."""
        if self.entry.draining or self.ended:
            return False
        return self.listed or now - self.gone_at <= GONE_USABLE_SECONDS

    def lacks(self, floor: Position, now: float) -> bool:
        """Whether its log was found, a moment ago, not to reach this position."""
        behind = self.behind_position
        return behind is not None and now < self.behind_until and behind <= floor

    def busy_recently(self, now: float) -> bool:
        """Whether it refused a request a moment ago: reads that can wait are not sent to it."""
        return now - self.busy_at < _BUSY_RECENTLY_SECONDS

    def note_status(self, status: InstanceStatus) -> None:
        """Note its answer to a status query or control call; a newer one may be known already."""
        if self.status is None or self.status.asked_at <= status.asked_at:
            self.status = status
        answered = self.answered_status
        if answered is None or answered.asked_at <= status.asked_at:
            self.answered_status = status
        self.unreachable_since = None
        self.last_answer_at = max(self.last_answer_at, status.asked_at)

    def note_answer(self, now: float) -> None:
        """Note that it answered a request of any kind."""
        self.unreachable_since = None
        self.last_answer_at = now

    def note_unreachable(self, now: float) -> None:
        """Note that it did not answer, or that its connection broke."""
        if self.unreachable_since is None:
            self.unreachable_since = now
        self.avoid_until = max(self.avoid_until, now + _UNREACHABLE_PAUSE_SECONDS)

    def note_behind(self, floor: Position, now: float) -> None:
        """Note that its log did not reach a position: such reads go elsewhere for a while.

        Reads that need a lower position still go to this instance. Most do: with sessions that have
        just written, a replica is found behind many times a second, and otherwise all reads would
        run on the primary.
        """
        known = self.behind_position
        lowest = floor if known is None or now >= self.behind_until else min(known, floor)
        self.behind_position = lowest
        self.behind_until = now + _BEHIND_PAUSE_SECONDS

    def note_busy(self, now: float) -> None:
        """Note that it refused a request because its queue was full."""
        self.busy_at = now
        self.avoid_until = max(self.avoid_until, now + _BUSY_PAUSE_SECONDS)

"""How old a view of something kept elsewhere may become, and what is due at which age. No I/O.

For: `promoted.views`, whose drivers hold the calls and timers and ask here. Owns the times of a
followed view and every choice by them: when other proxies are asked, when the store is read anew,
when a view is too old, how long a failed call rests. Times are in seconds of one steady clock.

A proxy follows the configuration, the directory and more from afar. Silence of a source looks like
"nothing has changed", so each view has an age: the time since it was last known to be current. A
promise that names a time bounds that age. Everything that keeps it below the bound is a share of
the bound; in the worst case, a source that is reachable again is read after

    watch_wait + answer_slack                       a swallowed watch is given up       0.40
    or read_at_age + hedge_after                    a view confirmed by others ends     0.80

of the bound, and a call of the store takes some milliseconds. The shares are such that these
sums hold; what they leave is for slow machines and slow answers
(docs/SILENCE.md, "Connections (promoted groups)", has the ages that are reached).
"""

from __future__ import annotations

from enum import Enum, auto

from msgspec import Struct

# Shares of the bound, as said above. Two waits together stay below the age at which the
# store is read: an answer that tells of a change may have been on its way since its watch was sent,
# so only the next one confirms the view.
_WATCH_WAIT_SHARE = 0.25
_ANSWER_SLACK_SHARE = 0.15
_ASK_SHARE = 0.15
_READ_SHARE = 0.6
_HEDGE_SHARE = 0.2
_PAUSE_SHARE = 0.1
# A long content that another proxy sends, where the store does not serve this one.
_WHOLE_SHARE = 0.4
# A proxy that others inform needs the store itself only where the store serves it and not them. In
# an outage all proxies ask: the readers often, these seldom.
_RELYING_PAUSE_SHARE = 0.3
# A watch that nobody's promise waits for costs one call each 30 s, the longest the store allows.
LONGEST_WATCH_SECONDS = 30.0
# Time beyond its wait that such a watch has for its answer. A store slowed a hundredfold
# takes 0.4 s.
_UNHURRIED_SLACK_SECONDS = 1.0
# Where no promise says otherwise. A store slowed a hundredfold answers twice meanwhile.
_UNHURRIED_HEDGE_SECONDS = 1.0
# An outage is found over within a second.
_UNHURRIED_PAUSE_SECONDS = 0.5
# No view without a bound is long.
_UNHURRIED_WHOLE_SECONDS = 2.0
# So many calls at once let a store answer that needs as many times `hedge_after`. With 0.2
# of the bound each, a call that is given up has lasted for the whole bound.
MOST_CALLS = 5
# The first pause after a failed call, seconds; each further one is twice as long. A store
# that refused once is asked again before any bound is near.
FIRST_PAUSE_SECONDS = 0.1
# Between two checks at least, seconds. A check that finds nothing to do must not be
# repeated without a pause.
SHORTEST_CHECK_SECONDS = 0.01


class FollowTimes(Struct, frozen=True):
    """The times by which one view is followed, all in seconds.

    `bound`: the greatest age that a promise allows, None where none depends on the view.
    `watch_wait`: how long a watch waits whose answer alone shows that the view is current.
    `relying_wait`: how long it waits where other proxies confirm the view meanwhile; None: such a
    proxy does not watch at all and takes changes from the others, too.
    `answer_slack`: how much later than its wait a watch may be answered.
    `ask_every`: how often others are asked, once the view is that old; None: never.
    `read_at_age`: the age at which the store is read, whatever was waited for.
    `hedge_after`: a read without an answer is repeated beside the first after this time.
    `longest_pause`: between two failed calls; `relying_pause`: where others are relied upon.
    `whole_wait`: how long another proxy has to send a long content.
    """

    bound: float | None
    watch_wait: float
    relying_wait: float | None
    answer_slack: float
    ask_every: float | None
    read_at_age: float | None
    hedge_after: float
    longest_pause: float
    relying_pause: float
    whole_wait: float

    @classmethod
    def within(cls, bound: float, watched_by_all: bool = True) -> FollowTimes:
        """For a view that is to be at most `bound` seconds old.

        With `watched_by_all` every proxy has the store tell it of changes; without, most have them
        from others some time later, which costs the store nothing.
        """
        return cls(
            bound=bound,
            watch_wait=bound * _WATCH_WAIT_SHARE,
            relying_wait=LONGEST_WATCH_SECONDS if watched_by_all else None,
            answer_slack=bound * _ANSWER_SLACK_SHARE,
            ask_every=bound * _ASK_SHARE,
            read_at_age=bound * _READ_SHARE,
            hedge_after=bound * _HEDGE_SHARE,
            longest_pause=bound * _PAUSE_SHARE,
            relying_pause=bound * _RELYING_PAUSE_SHARE,
            whole_wait=bound * _WHOLE_SHARE,
        )

    @classmethod
    def unhurried(cls, watch_wait: float) -> FollowTimes:
        """For a view that costs time at most when it is old."""
        return cls(
            bound=None,
            watch_wait=watch_wait,
            relying_wait=watch_wait,
            answer_slack=_UNHURRIED_SLACK_SECONDS,
            ask_every=None,
            read_at_age=None,
            hedge_after=_UNHURRIED_HEDGE_SECONDS,
            longest_pause=_UNHURRIED_PAUSE_SECONDS,
            relying_pause=_UNHURRIED_PAUSE_SECONDS,
            whole_wait=_UNHURRIED_WHOLE_SECONDS,
        )


class ViewAge:
    """Since when one view is not known to be current, and when others are to be asked."""

    def __init__(self, times: FollowTimes, now: float) -> None:
        self._times = times
        self._confirmed_at = now
        self._asked_at = float("-inf")

    def age(self, now: float) -> float:
        """Seconds since the view was last known to be current, or since the start."""
        return max(now - self._confirmed_at, 0.0)

    def confirmed(self, as_of: float) -> None:
        """The view was current at a time."""
        self._confirmed_at = max(self._confirmed_at, as_of)

    def first_known(self, as_of: float) -> None:
        """The first content, which was current at a time: it may be older than this proxy."""
        self._confirmed_at = as_of

    def asked(self, now: float) -> None:
        """Others are asked now."""
        self._asked_at = now

    def ask_due_in(self, now: float, first_ask_age: float) -> float | None:
        """Seconds until others are to be asked, from an age on; None: never."""
        if self._times.ask_every is None:
            return None
        due = max(self._confirmed_at + first_ask_age, self._asked_at + self._times.ask_every)
        return max(due - now, 0.0)

    def read_due_in(self, now: float) -> float | None:
        """Seconds until the store is to be read, whatever was waited for; None: never."""
        if self._times.read_at_age is None:
            return None
        return max(self._confirmed_at + self._times.read_at_age - now, 0.0)

    def too_old(self, now: float) -> bool:
        """Whether the view is older than the promise that rests on it allows."""
        return self._times.bound is not None and self.age(now) > self._times.bound


class SourceRole(Enum):
    """How a proxy comes to know that a view is current.

    ALONE: by the store only. READER: by the store, and other proxies ask this one. RELYING: others
    are asked and confirm the view.
    """

    ALONE = auto()
    READER = auto()
    RELYING = auto()


class FollowRule:
    """What is due about one followed view; it has the view's age."""

    def __init__(self, times: FollowTimes, now: float) -> None:
        self._times = times
        self._age = ViewAge(times, now)

    def age(self, now: float) -> float:
        """Seconds since the view was last known to be current, or since the start."""
        return self._age.age(now)

    def too_old(self, now: float) -> bool:
        """Whether the view is older than the promise that rests on it allows.

        A sign for operators (`view_too_old`): requests are served on.
        """
        return self._age.too_old(now)

    def confirmed(self, as_of: float) -> None:
        """The view was current at a time."""
        self._age.confirmed(as_of)

    def first_known(self, as_of: float) -> None:
        """The first content, which was current at a time: it may be older than this proxy."""
        self._age.first_known(as_of)

    def asked(self, now: float) -> None:
        """Others are asked now."""
        self._age.asked(now)

    def watch_wait(self, role: SourceRole) -> float | None:
        """For how long a watch of the store waits; None: the store is not watched at all."""
        relying = role is SourceRole.RELYING
        return self._times.relying_wait if relying else self._times.watch_wait

    def watch_confirms(
        self, sent_at: float, answered_at: float, wait: float, told_changes: bool
    ) -> float:
        """As of when the answer to a watch shows the view to be current.

        Without changes it was made when the wait was over. One that tells of changes, or came
        before, may have been made at any time since the watch was sent, and been long on its way.
        """
        waited = answered_at - sent_at >= wait and not told_changes
        return sent_at + wait if waited else sent_at

    def ask_due_in(self, now: float, role: SourceRole) -> float | None:
        """Seconds until others are to be asked; None: never.

        A reader asks only where its own watch should have been answered.
        """
        if role is SourceRole.ALONE:
            return None
        first_ask_age = self._times.ask_every or 0.0
        if role is SourceRole.READER:
            first_ask_age = self._times.watch_wait + self._times.answer_slack
        return self._age.ask_due_in(now, first_ask_age)

    def check_due_in(self, now: float, role: SourceRole, may_be_old: bool) -> float | None:
        """Seconds until something may be due; None: nothing will be.

        `may_be_old`: the store is being read, so that the view's age asks for no other reading.
        """
        due = [self.ask_due_in(now, role)]
        if not may_be_old:
            due.append(self._age.read_due_in(now))
        times = [seconds for seconds in due if seconds is not None]
        return max(min(times), SHORTEST_CHECK_SECONDS) if times else None

    def read_due(self, now: float) -> bool:
        """Whether the store is to be read now, whatever is waited for."""
        return self._age.read_due_in(now) == 0.0

    def answer_arriving(self, now: float, last_byte_at: float) -> bool:
        """Whether an answer of the store is on its way, so that it is waited for."""
        return now - last_byte_at < self._times.hedge_after

    def store_unserved(self, now: float, reading_since: float | None) -> bool:
        """Whether the store does not serve this proxy: others must send what is long, too."""
        return reading_since is not None and now - reading_since > self._times.hedge_after

    def first_view_outdated(self, now: float, as_of: float) -> bool:
        """Whether a first view that another proxy sent is older than the promise allows.

        Then the store is waited for: nothing was promised by a proxy that has no view yet.
        """
        return self._times.bound is not None and now - as_of > self._times.bound


class RetryPause:
    """The pauses between calls to the store that fail, for one view."""

    def __init__(self, times: FollowTimes) -> None:
        self._times = times
        self.seconds = FIRST_PAUSE_SECONDS

    def reset(self) -> None:
        """The store has answered."""
        self.seconds = FIRST_PAUSE_SECONDS

    def lengthen(self, role: SourceRole) -> None:
        """A call has failed again: the next pause is twice as long, up to a bound."""
        relying = role is SourceRole.RELYING
        longest = self._times.relying_pause if relying else self._times.longest_pause
        self.seconds = min(self.seconds * 2, max(longest, FIRST_PAUSE_SECONDS))

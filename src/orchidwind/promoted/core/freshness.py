"""How old a view of stored data may become, and what is to be done at which age. No I/O.

For `promoted.views`, whose drivers hold the calls and timers and ask here. Owns the times of a
followed view and every decision that depends on them: when other proxies are asked, when the store
is read again, when a view is too old, how long to pause after a failed call. Times are in seconds
of one monotonic clock.

A proxy follows the configuration, the directory and other data that the store holds. A source that
is silent looks like one without changes, so each view has an age: the time since it was last known
to be current. A promise that names a time bounds that age. Every interval that serves to keep the
age below the bound is a share of the bound. In the worst case, a source that is reachable again is
read after the following share of the bound; the call of the store then takes some milliseconds:

    watch_wait + answer_slack       0.40    a watch whose answer was lost is given up
    or read_at_age + hedge_after    0.80    a view is no longer confirmed by other proxies

The shares are chosen so that these sums hold; the rest of the bound is for slow machines and slow
answers (docs/SILENCE.md, "Connections (promoted groups)", has the ages that are reached).
"""

from __future__ import annotations

from enum import Enum, auto

from msgspec import Struct

# Shares of the bound, as described above. Two waits together stay below the age at which the store
# is read: an answer that reports a change may have been in transit since its watch was sent, so
# only the next answer confirms the view.
_WATCH_WAIT_SHARE = 0.25
_ANSWER_SLACK_SHARE = 0.15
_ASK_SHARE = 0.15
_READ_SHARE = 0.6
_HEDGE_SHARE = 0.2
_PAUSE_SHARE = 0.1
# For large content that another proxy sends while the store does not serve this one.
_WHOLE_SHARE = 0.4
# A proxy that others inform needs the store only if the store serves it and not them. In an outage
# all proxies call the store: those that read for others often, those that are informed seldom.
_RELYING_PAUSE_SHARE = 0.3
# A watch on which no promise depends costs one call every 30 s, the longest wait that the store
# allows.
LONGEST_WATCH_SECONDS = 30.0
# Time beyond its wait that such a watch has for its answer. A store slowed down a hundredfold takes
# 0.4 s.
_UNBOUNDED_SLACK_SECONDS = 1.0
# Used for a view without a bound. A store slowed down a hundredfold answers twice in this time.
_UNBOUNDED_HEDGE_SECONDS = 1.0
# The end of an outage is noticed within a second.
_UNBOUNDED_PAUSE_SECONDS = 0.5
# No view without a bound is large.
_UNBOUNDED_WHOLE_SECONDS = 2.0
# Most calls of the store at once for one view. With this number the store may take this many times
# `hedge_after` to answer; at 0.2 of the bound each, a call that is given up has lasted for the
# whole bound.
MOST_CALLS = 5
# The first pause after a failed call, in seconds; each further one is twice as long. A store that
# refused one call is called again before any bound is near.
FIRST_PAUSE_SECONDS = 0.1
# Shortest time between two checks, in seconds: a check that finds nothing to do must not be
# repeated without a pause.
SHORTEST_CHECK_SECONDS = 0.01


class FollowTimes(Struct, frozen=True):
    """The times by which one view is followed, all in seconds.

    `bound`: the greatest age that a promise allows, None if no promise depends on the view.
    `watch_wait`: how long a watch waits if its answer alone shows that the view is current.
    `relying_wait`: how long a watch waits if other proxies confirm the view meanwhile; None: a
    proxy that relies on others does not watch and gets changes from them, too. `answer_slack`: how
    much later than its wait a watch may be answered. `ask_every`: how often other proxies are
    asked, once the view has this age; None: never. `read_at_age`: the age at which the store is
    read, whatever other answers are pending; None: never. `hedge_after`: the time after which a
    read without an answer is repeated in parallel. `longest_pause`: the longest pause between two
    failed calls; `relying_pause`: the same for a proxy that relies on others. `large_content_wait`:
    how long another proxy has to send large content.
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
    large_content_wait: float

    @classmethod
    def within(cls, bound: float, watched_by_all: bool = True) -> FollowTimes:
        """Return the times for a view that is to be at most `bound` seconds old.

        With `watched_by_all` every proxy watches the store for changes. Otherwise most proxies get
        changes from other proxies some time later, which costs the store nothing.
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
            large_content_wait=bound * _WHOLE_SHARE,
        )

    @classmethod
    def unbounded(cls, watch_wait: float) -> FollowTimes:
        """Return the times for a view whose age breaks no promise: an old view only costs time."""
        return cls(
            bound=None,
            watch_wait=watch_wait,
            relying_wait=watch_wait,
            answer_slack=_UNBOUNDED_SLACK_SECONDS,
            ask_every=None,
            read_at_age=None,
            hedge_after=_UNBOUNDED_HEDGE_SECONDS,
            longest_pause=_UNBOUNDED_PAUSE_SECONDS,
            relying_pause=_UNBOUNDED_PAUSE_SECONDS,
            large_content_wait=_UNBOUNDED_WHOLE_SECONDS,
        )


class ViewAge:
    """When one view was last known to be current, and when other proxies are to be asked."""

    def __init__(self, times: FollowTimes, now: float) -> None:
        self._times = times
        self._confirmed_at = now
        self._asked_at = float("-inf")

    def age(self, now: float) -> float:
        """Seconds since the view was last known to be current, or since the start."""
        return max(now - self._confirmed_at, 0.0)

    def confirmed(self, as_of: float) -> None:
        """Note that the view was current at a time."""
        self._confirmed_at = max(self._confirmed_at, as_of)

    def first_known(self, as_of: float) -> None:
        """Note when the first content was current, which may be before this proxy started."""
        self._confirmed_at = as_of

    def asked(self, now: float) -> None:
        """Note that other proxies are asked now."""
        self._asked_at = now

    def ask_due_in(self, now: float, first_ask_age: float) -> float | None:
        """Return the seconds until other proxies are to be asked, None if they never are.

        They are not asked before the view has the age `first_ask_age`.
        """
        if self._times.ask_every is None:
            return None
        due = max(self._confirmed_at + first_ask_age, self._asked_at + self._times.ask_every)
        return max(due - now, 0.0)

    def read_due_in(self, now: float) -> float | None:
        """Return the seconds until the store is to be read, None if it never is.

        The store is read then whatever other answers are pending.
        """
        if self._times.read_at_age is None:
            return None
        return max(self._confirmed_at + self._times.read_at_age - now, 0.0)

    def too_old(self, now: float) -> bool:
        """Whether the view is older than the promise that depends on it allows."""
        return self._times.bound is not None and self.age(now) > self._times.bound


class SourceRole(Enum):
    """How a proxy learns that a view is current.

    ALONE: from the store only. READER: from the store, and other proxies ask this one. RELYING:
    from other proxies, which it asks.
    """

    ALONE = auto()
    READER = auto()
    RELYING = auto()


class FollowRule:
    """Decides what is to be done about one followed view; holds the age of the view."""

    def __init__(self, times: FollowTimes, now: float) -> None:
        self._times = times
        self._age = ViewAge(times, now)

    def age(self, now: float) -> float:
        """Seconds since the view was last known to be current, or since the start."""
        return self._age.age(now)

    def too_old(self, now: float) -> bool:
        """Whether the view is older than the promise that depends on it allows.

        Only reported to operators (`view_too_old`): requests are still served.
        """
        return self._age.too_old(now)

    def confirmed(self, as_of: float) -> None:
        """Note that the view was current at a time."""
        self._age.confirmed(as_of)

    def first_known(self, as_of: float) -> None:
        """Note when the first content was current, which may be before this proxy started."""
        self._age.first_known(as_of)

    def asked(self, now: float) -> None:
        """Note that other proxies are asked now."""
        self._age.asked(now)

    def watch_wait(self, role: SourceRole) -> float | None:
        """Return how long a watch of the store waits, None if the store is not watched at all."""
        relying = role is SourceRole.RELYING
        return self._times.relying_wait if relying else self._times.watch_wait

    def watch_confirms(
        self, sent_at: float, answered_at: float, wait: float, told_changes: bool
    ) -> float:
        """Return the time at which the view was current, as the answer to a watch shows.

        An answer without changes was made at the end of the wait. An answer that reports changes,
        or that came before the end of the wait, may have been made at any time since the watch was
        sent, and have been in transit for a long time.
        """
        waited = answered_at - sent_at >= wait and not told_changes
        return sent_at + wait if waited else sent_at

    def ask_due_in(self, now: float, role: SourceRole) -> float | None:
        """Return the seconds until other proxies are to be asked, None if they never are.

        A reader asks them only if its own watch should have been answered by then.
        """
        if role is SourceRole.ALONE:
            return None
        first_ask_age = self._times.ask_every or 0.0
        if role is SourceRole.READER:
            first_ask_age = self._times.watch_wait + self._times.answer_slack
        return self._age.ask_due_in(now, first_ask_age)

    def check_due_in(self, now: float, role: SourceRole, may_be_old: bool) -> float | None:
        """Return the seconds until the next check of what is to be done, None if none is needed.

        `may_be_old`: the store is being read already, so the view's age calls for no other reading.
        """
        due = [self.ask_due_in(now, role)]
        if not may_be_old:
            due.append(self._age.read_due_in(now))
        times = [seconds for seconds in due if seconds is not None]
        return max(min(times), SHORTEST_CHECK_SECONDS) if times else None

    def read_due(self, now: float) -> bool:
        """Whether the store is to be read now, whatever other answers are pending."""
        return self._age.read_due_in(now) == 0.0

    def answer_arriving(self, now: float, last_byte_at: float) -> bool:
        """Whether an answer of the store is arriving, so that it is worth waiting for."""
        return now - last_byte_at < self._times.hedge_after

    def store_unserved(self, now: float, reading_since: float | None) -> bool:
        """Whether the store does not serve this proxy, so that others must send large content."""
        return reading_since is not None and now - reading_since > self._times.hedge_after

    def first_view_outdated(self, now: float, as_of: float) -> bool:
        """Whether a first view that another proxy sent is older than the promise allows.

        The proxy then waits for the store: a proxy that has no view yet has promised nothing.
        """
        return self._times.bound is not None and now - as_of > self._times.bound


class RetryPause:
    """The pauses between failing calls to the store, for one view."""

    def __init__(self, times: FollowTimes) -> None:
        self._times = times
        self.seconds = FIRST_PAUSE_SECONDS

    def reset(self) -> None:
        """Return to the first pause, as the store has answered."""
        self.seconds = FIRST_PAUSE_SECONDS

    def lengthen(self, role: SourceRole) -> None:
        """Double the next pause, up to a limit, as a call has failed again."""
        relying = role is SourceRole.RELYING
        longest = self._times.relying_pause if relying else self._times.longest_pause
        self.seconds = min(self.seconds * 2, max(longest, FIRST_PAUSE_SECONDS))

"""Decides which change of the quota shares' holders a proxy writes, and when. No I/O.

For `quotas.share_keeper`, which reads and writes the object and asks here. The holders change for
two reasons:

- The home proxies changed. The first of the wanted holders by name writes the change once the homes
  have stayed the same for a while and all of them can be reached.
- Most of the holders are lost: less than `MINIMUM_REACHABLE_SHARE` of each quota is held by proxies
  that this one can reach. It then names itself and the reachable holders as the next ones. Other
  proxies in the same position add themselves until the early part has passed.

A proxy that is cut off believes that the holders are lost, too. Its change does no harm, because a
holder that reaches enough of the others withdraws it in time: until the early part passes, nothing
has changed hands. Holders that cannot write to the store cannot withdraw it, but neither do they
learn that their shares are still in force. If the holders are the wanted ones and can be reached
again after the early part has passed, the change is turned round.

A change to the wanted holders is completed as soon as all present holders have confirmed that they
use no earlier share. Holders that cannot be reached are waited for.

Owns: what this proxy last read of the object, and since when the conditions for a change have held.
Relies on `quota_shares` for what each write may do. Times are in seconds of one monotonic clock.
"""

from __future__ import annotations

from collections.abc import Collection

from msgspec import Struct

from orchidwind.promoted.core.quota_shares import (
    EARLY_SETTLE_SECONDS,
    QuotaShares,
    completed,
    early_part_passed,
    next_shares,
    returned,
    with_next_holders,
    withdrawn,
)
from orchidwind.promoted.core.share_confirmations import ShareConfirmations
from orchidwind.promoted.core.store_revision import StoreRevision

# How long the set of home proxies must stay the same before it replaces other holders, seconds.
# While proxies start, each sees the others appear one by one. The first holders are named at once.
UNCHANGED_SECONDS = 1.5
# The first of the wanted holders by name writes the change. Each further one writes this many
# seconds after the one before it, if those before it have not written.
TURN_SECONDS = 2.0
# The same where callers wait for the change.
URGENT_TURN_SECONDS = 0.1
# Lost holders are replaced when the reachable ones hold less of each quota than this. Half of the
# quota serves a tenant of usual load.
MINIMUM_REACHABLE_SHARE = 0.5
# For how long so little must have been reachable, seconds. A link to a proxy that restarts is up
# again after a second; the change can be withdrawn for longer than that.
LOSS_SECONDS = 0.2
# How long before a proxy learned of a change its loss of holders may have ended, seconds, if that
# loss is to be the reason of the change: news of the object may be as late as that.
LOSS_NOTED_SECONDS = 2.0
# Most proxies that replace lost holders. A share among more would be too small to be of use.
MOST_REPLACEMENTS = 6
# Pause after a change was withdrawn before this proxy proposes to replace lost holders again,
# seconds. It doubles each time, up to a limit, while the holders remain out of reach: a proxy that
# is cut off for long must not cause a change every few seconds.
FIRST_WITHDRAWN_PAUSE_SECONDS = 3.0
LONGEST_WITHDRAWN_PAUSE_SECONDS = 24.0
# How long holders must have stood before a change of them is completed by confirmations, seconds.
# Proxies that hold a share for the first time fill their buckets in part at once; the excess over a
# quota that is allowed in one window covers only few of them.
STANDING_SECONDS = 5.0


class Surroundings(Struct, frozen=True):
    """What a proxy knows of the others when it decides.

    `wanted` names the proxies that are to hold shares, sorted; it is empty while they are not
    known. `lost` names the proxies that this one cannot reach.
    """

    wanted: tuple[str, ...]
    lost: Collection[str]


class ShareChanges:
    """The decisions of one proxy about the holders of quota shares."""

    def __init__(self, name: str, now: float) -> None:
        self.held = QuotaShares()
        self._name = name
        # Since when the object, or the change to which it belongs, has been known.
        self._held_since = now
        self._wanted: tuple[str, ...] = ()
        self._wanted_since = now
        # Since when too little is reachable; None while enough is.
        self._too_little_since: float | None = None
        self._replace_not_before = now
        self._withdrawn_pause = FIRST_WITHDRAWN_PAUSE_SECONDS
        # Since when enough is reachable; None while too little is.
        self._enough_since: float | None = None
        self._confirmations = ShareConfirmations()
        # Whether the present change may be completed by confirmations.
        self._confirmations_count = False

    def learned(self, shares: QuotaShares, now: float) -> None:
        """Note the object as it was read or written just now."""
        if self.held.following and not shares.following and shares.holders == self.held.holders:
            self._pause_replacements(now)
        if shares.late_kept and not self.held.late_kept:
            self._pause_replacements(now)
        if not shares.continues(self.held):
            stood = self.held.exists and not self.held.following
            standing = stood and now - self._held_since >= STANDING_SECONDS
            # After a restore of the store, others than the present holders may use shares.
            same_era = shares.revision.era == self.held.revision.era
            self._confirmations_count = same_era and (standing or shares.late_kept)
            self._held_since = now
        self.held = shares
        self._confirmations.learned(shares)

    def _pause_replacements(self, now: float) -> None:
        """Wait before proposing to replace lost holders again: a change was taken back."""
        self._replace_not_before = now + self._withdrawn_pause
        longer = self._withdrawn_pause * 2
        self._withdrawn_pause = min(longer, LONGEST_WITHDRAWN_PAUSE_SECONDS)

    def confirmed(self, holder: str, revision: StoreRevision) -> None:
        """Note that a holder uses no share from before this revision."""
        self._confirmations.note(holder, revision)

    def to_ask(self, now: float, around: Surroundings) -> tuple[str, ...]:
        """Returns the proxies that this one is to ask for their confirmations now.

        This proxy itself only once all others have confirmed: it then gives up its earlier share.
        Before a change is turned round, the ones that it then leaves out instead.
        """
        if self._return_due(now, around) and self.held.early_passed:
            return self._unsure_of_return(around)
        if not self._confirmations_suffice(around) or self._writers(around.lost)[0] != self._name:
            return ()
        missing = self._confirmations.missing(self.held)
        others = [name for name in missing if name != self._name]
        return tuple(others or missing)

    def _confirmations_suffice(self, around: Surroundings) -> bool:
        """Whether the change may be completed once all holders have confirmed.

        One to holders that nobody wants is only completed where the present ones stay away.
        """
        held = self.held
        if not held.following or not self._confirmations_count:
            return False
        if any(name in around.lost for name in held.holders):
            return False
        is_wanted = bool(around.wanted) and set(around.wanted) <= set(held.following)
        return held.late_kept or is_wanted

    def next_write(self, now: float, around: Surroundings) -> QuotaShares | None:
        """Returns the object that this proxy is to write now, or None if it is to write nothing."""
        self._observe(now, around)
        if self.held.following:
            return self._next_of_change(now, around)
        if self._too_little_since is not None:
            return self._replacement(now, around)
        return self._planned_change(now, around)

    def seconds_to_share(self, now: float) -> float | None:
        """Returns the seconds until the next holders get the early part of the quotas.

        None if they have it, or if there is no change.
        """
        if not self.held.following or self.held.early_passed:
            return None
        return max(EARLY_SETTLE_SECONDS - (now - self._held_since), 0.0)

    def _observe(self, now: float, around: Surroundings) -> None:
        if around.wanted != self._wanted:
            self._wanted, self._wanted_since = around.wanted, now
        if self._reachable_share(around.lost) >= MINIMUM_REACHABLE_SHARE:
            self._too_little_since = None
            self._withdrawn_pause = FIRST_WITHDRAWN_PAUSE_SECONDS
            if self._enough_since is None:
                self._enough_since = now
        elif self._too_little_since is None:
            self._too_little_since = now
            self._enough_since = None

    def _reachable_share(self, lost: Collection[str]) -> float:
        """How much of each quota the holders have that this proxy can reach, itself included.

        Without an object there is nothing to replace.
        """
        holders = self.held.holders
        reachable = [name for name in holders if name not in lost]
        return len(reachable) / len(holders) if holders else 1.0

    def _planned_change(self, now: float, around: Surroundings) -> QuotaShares | None:
        wanted = around.wanted
        if self._name not in wanted:
            return None
        if self.held.holders and any(name in around.lost for name in wanted):
            return None  # the present holders serve until all next ones answer
        only_leave = set(wanted) < set(self.held.holders)
        if only_leave and now - self._held_since < STANDING_SECONDS:
            return None  # until then, the change could not be completed by confirmations
        turn_delay = wanted.index(self._name) * TURN_SECONDS
        settle_time = UNCHANGED_SECONDS if self.held.holders else 0.0
        if now - self._wanted_since < settle_time + turn_delay:
            return None
        return next_shares(self.held, wanted, now - self._held_since)

    def _replacement(self, now: float, around: Surroundings) -> QuotaShares | None:
        """The change that replaces lost holders, if the loss has lasted long enough."""
        if now < self._replace_not_before or not self._loss_lasts(now):
            return None
        return self._joined(around)

    def _loss_lasts(self, now: float) -> bool:
        since = self._too_little_since
        return since is not None and now - since >= LOSS_SECONDS

    def _joined(self, around: Surroundings) -> QuotaShares:
        """The object with this proxy and the reachable holders among the next holders."""
        reachable = [name for name in self.held.holders if name not in around.lost]
        return with_next_holders(self.held, {*self.held.following, *reachable, self._name})

    # --- During a change --------------------------------------------------------------------------

    def _next_of_change(self, now: float, around: Surroundings) -> QuotaShares | None:
        if self._return_due(now, around):
            if not self.held.early_passed:
                return withdrawn(self.held)
            if not self._unsure_of_return(around):
                return returned(self.held)
        if not self.held.early_passed and not self.held.late_kept:
            corrected = self._corrected(now, around)
            if corrected is not None:
                return corrected
        return self._completed(now, around)

    def _return_due(self, now: float, around: Surroundings) -> bool:
        """Whether this proxy is to take the change back: it replaces lost holders that are back."""
        writers = self._writers(around.lost)
        if self._enough_since is None or self._name not in writers:
            return False
        if self._enough_since < self._held_since - LOSS_NOTED_SECONDS:
            return False  # no holders were lost: it is a planned change
        leaves_wanted = self.held.holders == around.wanted and not self.held.late_kept
        turn_delay = writers.index(self._name) * URGENT_TURN_SECONDS
        return leaves_wanted and now - self._enough_since >= turn_delay

    def _unsure_of_return(self, around: Surroundings) -> tuple[str, ...]:
        """The reachable proxies that may not understand that the change is turned round.

        One that the change then leaves out takes it for one that has passed nothing, and withdraws
        it, unless it knows of `late_kept`. Those that confirm a version know of it.
        """
        left_out = set(self.held.following) - set(self.held.holders) - {self._name}
        return tuple(self._confirmations.missing_among(sorted(left_out - set(around.lost))))

    def _corrected(self, now: float, around: Surroundings) -> QuotaShares | None:
        """The change with this proxy in it, or withdrawn; None if it is right as it is."""
        if self._name in self.held.following:
            return None
        if self._too_little_since is not None:
            reachable = [name for name in self.held.following if name not in around.lost]
            full = len(reachable) >= MOST_REPLACEMENTS
            is_holder = self._name in self.held.holders
            wants_part = self._loss_lasts(now) and (is_holder or not full)
            return self._joined(around) if wants_part else None
        dropped = self._name in self.held.holders and self._name in around.wanted
        return withdrawn(self.held) if dropped and self._its_turn(now, around) else None

    def _its_turn(self, now: float, around: Surroundings) -> bool:
        """Whether the reachable holders before this one by name have had time to withdraw it."""
        reachable = [name for name in self.held.holders if name not in around.lost]
        turn = reachable.index(self._name) if self._name in reachable else 0
        return now - self._held_since >= turn * URGENT_TURN_SECONDS

    def _completed(self, now: float, around: Surroundings) -> QuotaShares | None:
        """The next step of the change, if it is due and this proxy's turn."""
        known_for = now - self._held_since
        writers = self._writers(around.lost)
        if self._name not in writers:
            return None
        turn = writers.index(self._name)
        if self._confirmations_suffice(around) and not self._confirmations.missing(self.held):
            return completed(self.held)
        if not self.held.early_passed:
            passed = early_part_passed(self.held, known_for - turn * URGENT_TURN_SECONDS)
            if passed is not None:
                return passed
        return next_shares(self.held, (), known_for - turn * TURN_SECONDS)

    def _writers(self, lost: Collection[str]) -> list[str]:
        """The reachable proxies that complete the change, in the order of their turns.

        Where all next and present holders are lost, this proxy completes it.
        """
        leaving = [name for name in self.held.holders if name not in self.held.following]
        involved = [*self.held.following, *leaving]
        return [name for name in involved if name not in lost] or [self._name]

"""What a change of primary begins with, the steps that it takes, and what comes back. No I/O.

What for: the flow in `failover` yields these steps; a driver, the product's or the explorer's,
carries them out. Owns and relies on: nothing.
"""

from __future__ import annotations

from collections.abc import Generator, Iterable, Mapping
from enum import Enum, unique

from msgspec import Struct

from orchidwind.promoted.core.commands import InstanceStatus
from orchidwind.promoted.core.roster import PromotionRecord
from orchidwind.promoted.core.store_revision import StoreRevision
from orchidwind.shared.core.errors import OrchidwindError
from orchidwind.shared.core.positions import Position


@unique
class FailoverReason(Enum):
    """Why a change of primary is looked into."""

    UNREACHABLE = "unreachable"
    LEAVING = "leaving"
    NOT_CONFIRMING = "not_confirming"
    LEFT_FENCED = "left_fenced"


@unique
class FailoverOutcome(Enum):
    """How a change of primary ended."""

    DONE = "done"
    NOT_NEEDED = "not_needed"
    LOCK_HELD = "lock_held"
    LOCK_LOST = "lock_lost"
    NOT_SAFE = "not_safe"


class AcknowledgedCommits(Struct, frozen=True):
    """Up to where proxies that hold lead leases may have acknowledged commits of a group.

    Others acknowledge only what a listed replica holds that nobody has fenced.
    `end` is an end of the primary's log at such a time, so it may lie beyond what was acknowledged.
    `known_since`: below this revision of the promotion lock a proxy may have acknowledged more,
    and ended.
    """

    end: Position
    known_since: StoreRevision

    @classmethod
    def by_all(
        cls, ends: Iterable[Position], first_revisions: Iterable[StoreRevision], era: int
    ) -> AcknowledgedCommits:
        """What all proxies reported: their ends, and the lock's revision that each saw first.

        Reports of an earlier era of the store than `era` may be lost, with what they said.
        """
        era_began = StoreRevision.of(era, 0)
        return cls(max(ends, default=Position(0, 0)), max(era_began, *first_revisions))


class FailoverPlan(Struct, frozen=True):
    """What the proxy believes when it begins, and again when it has read the members anew.

    `members` are all instances that may have confirmed commits; `leaving` those of them that must
    not lead; `old_primary` is empty where none is known. Without `members_known` there may be
    others that this proxy has not heard of: then only a demoted primary's log is a measure.
    `led_term` is the newest term in which an instance is known to have led. `absent` are instances
    of which neither the directory nor this proxy has heard since that term began: they are members
    if they answer; else it depends on `acknowledged`, what all proxies have acknowledged, whether
    they are needed.
    `unlisted` are those that the directory does not name. `last_promotion` is what the group's
    roster names, None where nobody was ever promoted.
    """

    group: str
    reason: FailoverReason
    members: tuple[str, ...]
    leaving: frozenset[str]
    old_primary: str
    synchronous_replicas: int
    members_known: bool = True
    led_term: int = 0
    absent: tuple[str, ...] = ()
    unlisted: frozenset[str] = frozenset()
    acknowledged: AcknowledgedCommits | None = None
    last_promotion: PromotionRecord | None = None


class FailoverResult(Struct, frozen=True):
    """The outcome; `primary` and `term` where it is DONE."""

    outcome: FailoverOutcome
    primary: str = ""
    term: int = 0


class LockLost(OrchidwindError):
    """The promotion lock's time has passed."""


@unique
class PromotionAnswer(Enum):
    """What came back from the promotion call."""

    ACCEPTED = "accepted"
    REFUSED = "refused"
    UNKNOWN = "unknown"


class ChoiceReport(Struct, frozen=True):
    """On what a choice of the next primary rested, for the log.

    `passed_over`: each instance that was not chosen, and why. `chosen` is empty where no instance
    is known to have every acknowledged commit.
    """

    members: tuple[str, ...]
    absent: tuple[str, ...]
    members_known: bool
    needed: int
    counted: int
    demoted: str
    chosen: str
    passed_over: tuple[tuple[str, str], ...]


class TakeLock(Struct, frozen=True):
    """Take the promotion lock; the result is a bool."""


class ReleaseLock(Struct, frozen=True):
    """Give the lock back."""


class AskAll(Struct, frozen=True):
    """Ask instances for their status; the result is a map of those that answered."""

    instances: tuple[str, ...]


class FenceAll(Struct, frozen=True):
    """Keep instances from receiving of primaries below `term`; the result as for AskAll."""

    instances: tuple[str, ...]
    term: int


class UnfenceAll(Struct, frozen=True):
    """Let instances receive again; the result as for AskAll."""

    instances: tuple[str, ...]


class Demote(Struct, frozen=True):
    """Turn a primary of a lower term into a replica; the result as for AskAll."""

    instance: str
    term: int


class AwaitRevocation(Struct, frozen=True):
    """Wait until no proxy relies on the old primary by a lead lease, to read or to acknowledge.

    The result is AcknowledgedCommits, None where some proxy did not say what it acknowledged.
    """


class ReadMembers(Struct, frozen=True):
    """Read anew who may have confirmed; a FailoverPlan, None where the store does not answer."""


class ReportChoice(Struct, frozen=True):
    """Log on what a choice rested."""

    report: ChoiceReport


class RecordPromotion(Struct, frozen=True):
    """Write down that an instance is about to be promoted; whether it surely is in the store.

    `term` is the least term that it will lead, `start` the end of its log.
    """

    instance: str
    term: int
    start: Position


class Promote(Struct, frozen=True):
    """Send the promotion, if the lock is surely held (else LockLost is thrown in)."""

    instance: str


class Wait(Struct, frozen=True):
    """Wait for some seconds; LockLost is thrown in where the lock's time has passed."""

    seconds: float


InstanceStep = AskAll | FenceAll | UnfenceAll | Demote
FailoverStep = (
    InstanceStep
    | TakeLock
    | ReleaseLock
    | AwaitRevocation
    | ReadMembers
    | ReportChoice
    | RecordPromotion
    | Promote
    | Wait
)
Statuses = Mapping[str, InstanceStatus]
FailoverStepResult = Statuses | FailoverPlan | AcknowledgedCommits | PromotionAnswer | bool | None
FailoverFlow = Generator[FailoverStep, FailoverStepResult, FailoverResult]

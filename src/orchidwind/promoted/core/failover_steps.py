"""Input, steps and results of a change of primary. No I/O.

The flow in `failover` yields these steps. A driver, that of the proxy or that of the explorer,
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
    """Why a proxy considers a change of primary."""

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
    """How far proxies that hold leadership leases may have acknowledged commits of a group.

    Proxies without a lease acknowledge only commits that a listed replica holds while no listed
    instance is fenced. `end` is an end of the primary's log at such a time, so it may lie beyond
    what was acknowledged. `known_since`: a proxy that ended before the promotion lock had this
    revision may have acknowledged more.
    """

    end: Position
    known_since: StoreRevision

    @classmethod
    def by_all(
        cls, ends: Iterable[Position], first_revisions: Iterable[StoreRevision], era: int
    ) -> AcknowledgedCommits:
        """Combine the reports of all proxies.

        `ends`: the log ends that they reported. `first_revisions`: the first revision of the lock
        that each of them saw. Reports from an era of the store before `era` may be lost, so
        `known_since` never lies before the beginning of `era`.
        """
        era_began = StoreRevision.of(era, 0)
        return cls(max(ends, default=Position(0, 0)), max(era_began, *first_revisions))


class FailoverPlan(Struct, frozen=True):
    """What the proxy knows when a change begins, and again after it has read the members.

    `members` are all instances that may have confirmed commits; `leaving` are instances that must
    not lead; `old_primary` is empty if none is known. Without `members_known` there may be further
    members that this proxy does not know: then only a demoted primary's log shows whether another
    log is complete. `led_term` is the newest term in which an instance is known to have led.
    `absent` are instances of which neither the directory nor this proxy has heard since that term
    began: they are members if they answer; otherwise `acknowledged`, what all proxies have
    acknowledged, decides whether their logs are needed. `unlisted` are instances that the directory
    does not list. `last_promotion` is the record in the group's roster, None if no instance was
    ever promoted. `near_old_primary` are the instances in the old primary's region; empty if there
    is only one region, or if that of the old primary is not known. `ended_terms` are terms whose
    primaries have answered during this change that they lead no longer.
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
    near_old_primary: frozenset[str] = frozenset()
    ended_terms: frozenset[int] = frozenset()


class FailoverResult(Struct, frozen=True):
    """The outcome of a change; `primary` and `term` are set if it is DONE."""

    outcome: FailoverOutcome
    primary: str = ""
    term: int = 0


class LockLost(OrchidwindError):
    """The holding time of the promotion lock is over."""


@unique
class PromotionAnswer(Enum):
    """The answer to the promotion call."""

    ACCEPTED = "accepted"
    REFUSED = "refused"
    UNKNOWN = "unknown"


class ChoiceReport(Struct, frozen=True):
    """The grounds for a choice of the next primary, for the log.

    `passed_over`: each instance that was not chosen, and the reason. `chosen` is empty if no
    instance is known to have every acknowledged commit.
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
    """Release the promotion lock."""


class AskAll(Struct, frozen=True):
    """Ask instances for their status.

    The result maps the name of each instance that answers to its status.
    """

    instances: tuple[str, ...]


class FenceAll(Struct, frozen=True):
    """Fence instances: they accept no log from primaries below `term`.

    The result is as for AskAll.
    """

    instances: tuple[str, ...]
    term: int


class UnfenceAll(Struct, frozen=True):
    """Lift the fences of instances; the result is as for AskAll."""

    instances: tuple[str, ...]


class Demote(Struct, frozen=True):
    """Turn a primary of a term below `term` into a replica; the result is as for AskAll."""

    instance: str
    term: int


class AwaitRevocation(Struct, frozen=True):
    """Wait until no proxy relies on a leadership lease for the old primary.

    A lease allows a proxy to read and to acknowledge commits. The result is AcknowledgedCommits,
    None if some proxy did not report what it acknowledged.
    """


class ReadMembers(Struct, frozen=True):
    """Read again which instances may have confirmed commits.

    The result is a FailoverPlan, None if the store does not answer.
    """


class ReportChoice(Struct, frozen=True):
    """Log the grounds for a choice."""

    report: ChoiceReport


class RecordPromotion(Struct, frozen=True):
    """Record in the store that an instance is about to be promoted.

    The result is True if the record is certainly in the store. `term` is the lowest term in which
    the instance will lead, `start` the end of its log.
    """

    instance: str
    term: int
    start: Position


class Promote(Struct, frozen=True):
    """Send the promotion if the lock is certainly held; otherwise LockLost is thrown in."""

    instance: str


class Wait(Struct, frozen=True):
    """Wait for some seconds; LockLost is thrown in if the lock's holding time is over."""

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

"""Rounds of status queries to the listed instances, and who has to answer. No I/O, no clock.

A proof that no later primary has begun, for a read or for a commit, rests on the fences that a
change of primary sets. One instance's answer is not enough: it may have missed the fence, or lost
it in a restart. So all listed instances that may be fenced are asked at once, and without the
leadership lease all of them have to answer.

Owns: nothing. Relies on: the directory for the instances that are listed.
"""

from __future__ import annotations

from collections.abc import Iterable

from msgspec import Struct

from orchidwind.promoted.core.commands import InstanceStatus
from orchidwind.promoted.core.roster import PromotionRecord


class StatusRound(Struct, frozen=True):
    """The answers to one round of status queries.

    `primary`: the instance believed to be primary when it began, empty if none was. `must_answer`:
    the instances that have to answer unless the leadership lease covers the moment.
    """

    primary: str
    must_answer: frozenset[str]
    statuses: tuple[InstanceStatus, ...]

    @property
    def missing(self) -> frozenset[str]:
        """The instances that had to answer and did not."""
        return self.must_answer - {status.instance for status in self.statuses}


def must_answer(
    listed: Iterable[str], primary: str, last_promotion: PromotionRecord | None
) -> frozenset[str]:
    """Return the listed instances whose fence may be the only sign of a change of primary.

    The current primary is left out, and so is the primary that was replaced last: the other
    instances were fenced against it.
    """
    replaced = last_promotion.replaced if last_promotion is not None else ""
    return frozenset(listed) - {primary, replaced}


def instances_to_ask(
    listed: Iterable[str],
    primary: str,
    required: frozenset[str],
    unreachable: frozenset[str],
    lease_covers: bool,
) -> frozenset[str]:
    """Return the listed instances to ask for their status.

    The primary is left out, and so are unreachable instances, unless their answer is required
    (`must_answer`). No answer is required while the leadership lease covers the moment.
    """
    passed_over = unreachable if lease_covers else unreachable - required
    return frozenset(listed) - {primary} - passed_over

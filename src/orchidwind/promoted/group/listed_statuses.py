"""Asks the listed instances of a group for their statuses, and gathers the answers.

`core/status_rounds.py` decides who is asked and who has to answer. Owns nothing. Depends on the
group's topology, which keeps the last status of each instance, and on a status call that returns in
bounded time and notes its answer there. Times are in seconds of the loop's clock.
"""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable

from msgspec import Struct

from orchidwind.promoted.core.commands import InstanceStatus
from orchidwind.promoted.core.status_rounds import StatusRound, instances_to_ask, must_answer
from orchidwind.promoted.core.topology import GroupTopology

AskStatus = Callable[[str], Awaitable[InstanceStatus | None]]


class ListedInstances(Struct, frozen=True):
    """The listed instances of a group, as they are known now.

    `primary`: the instance believed to be primary, empty if none is. `required`: those that have to
    answer without the leadership lease. `silent`: those that did not answer last time.
    """

    names: frozenset[str]
    primary: str
    required: frozenset[str]
    silent: frozenset[str]

    @classmethod
    def of(cls, topology: GroupTopology) -> ListedInstances:
        """Return those of a group."""
        views = {name: view for name, view in topology.instances.items() if view.listed}
        primary = topology.primary(asyncio.get_running_loop().time())
        led = primary.instance if primary is not None else ""
        required = must_answer(views, led, topology.last_promotion)
        silent = frozenset(name for name, view in views.items() if not view.reachable)
        return cls(frozenset(views), led, required, silent)


async def ask_listed(
    topology: GroupTopology,
    listed: ListedInstances,
    ask: AskStatus,
    lease_covers: bool,
    since: float,
) -> None:
    """Ask the listed instances, except the primary, that have not answered since a time."""
    asked = instances_to_ask(
        listed.names, listed.primary, listed.required, listed.silent, lease_covers
    )
    due = [name for name in sorted(asked) if _answer_since(topology, name, since) is None]
    await asyncio.gather(*(ask(name) for name in due))


def answers_since(topology: GroupTopology, since: float) -> StatusRound:
    """Return the last answers of the listed instances that were asked for since a time.

    They need not have been asked at the same time: what a change of primary does to an instance
    still shows later.
    """
    listed = ListedInstances.of(topology)
    names = listed.names | ({listed.primary} if listed.primary else set())
    answers = [_answer_since(topology, name, since) for name in sorted(names)]
    statuses = tuple(item for item in answers if item is not None)
    return StatusRound(listed.primary, listed.required, statuses)


def _answer_since(topology: GroupTopology, name: str, since: float) -> InstanceStatus | None:
    """The last answer, None if it was asked for earlier. A refusal tells nothing about a fence."""
    answer = topology.instances[name].answered_status
    return answer if answer is not None and answer.asked_at >= since else None

"""Asks the listed instances of a group for their statuses, and gathers the answers.

`core/status_rounds.py` decides who is asked and who has to answer. Owns nothing. Depends on the
group's topology, which keeps the last status of each instance, and on a status call that returns in
bounded time and notes its answer there. Times are in seconds of the loop's clock.
"""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable

from orchidwind.promoted.core.commands import InstanceStatus
from orchidwind.promoted.core.instance_view import InstanceView
from orchidwind.promoted.core.status_rounds import StatusRound, instances_to_ask, must_answer
from orchidwind.promoted.core.topology import GroupTopology

AskStatus = Callable[[str], Awaitable[InstanceStatus | None]]


async def ask_listed(
    topology: GroupTopology, ask: AskStatus, lease_covers: bool, since: float
) -> None:
    """Ask the listed instances, except the primary, that have not answered since a time."""
    primary = _primary(topology)
    listed = _listed(topology)
    required = must_answer(listed, primary, topology.last_promotion)
    unreachable = frozenset(name for name, view in listed.items() if not view.reachable)
    asked = instances_to_ask(listed, primary, required, unreachable, lease_covers)
    due = [name for name in sorted(asked) if _answer_since(topology.instances[name], since) is None]
    await asyncio.gather(*(ask(name) for name in due))


def silent_required(topology: GroupTopology) -> frozenset[str]:
    """Return the instances that have to answer without the lease, but did not answer last time."""
    listed = _listed(topology)
    required = must_answer(listed, _primary(topology), topology.last_promotion)
    return frozenset(name for name in required if not listed[name].reachable)


def answers_since(topology: GroupTopology, since: float) -> StatusRound:
    """Return the last answers of the listed instances that were asked for since a time.

    They need not have been asked at the same time: what a change of primary does to an instance
    still shows later.
    """
    primary = _primary(topology)
    listed = _listed(topology)
    required = must_answer(listed, primary, topology.last_promotion)
    answers = [
        _answer_since(view, since)
        for name, view in topology.instances.items()
        if name in listed or name == primary
    ]
    return StatusRound(primary, required, tuple(item for item in answers if item is not None))


def _primary(topology: GroupTopology) -> str:
    primary = topology.primary(asyncio.get_running_loop().time())
    return primary.instance if primary is not None else ""


def _listed(topology: GroupTopology) -> dict[str, InstanceView]:
    return {name: view for name, view in topology.instances.items() if view.listed}


def _answer_since(view: InstanceView, since: float) -> InstanceStatus | None:
    """The last answer, None if it was asked for earlier. A refusal tells nothing about a fence."""
    answer = view.answered_status
    return answer if answer is not None and answer.asked_at >= since else None

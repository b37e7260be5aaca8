"""Sends one round of status queries to the listed instances of a group.

`core/status_rounds.py` decides who is asked and who has to answer. Owns nothing. Depends on the
group's topology, and on a status call that returns in bounded time, None if there is no answer.
"""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable

from orchidwind.promoted.core.commands import InstanceStatus
from orchidwind.promoted.core.status_rounds import StatusRound, instances_to_ask, must_answer
from orchidwind.promoted.core.topology import GroupTopology

AskStatus = Callable[[str], Awaitable[InstanceStatus | None]]


async def ask_listed(
    topology: GroupTopology, ask: AskStatus, lease_covers: bool, with_primary: bool
) -> StatusRound:
    """Ask the listed instances for their statuses; the primary only if `with_primary` is set."""
    primary = topology.primary(asyncio.get_running_loop().time())
    name = primary.instance if primary is not None else ""
    listed = {item: view for item, view in topology.instances.items() if view.listed}
    required = must_answer(listed, name, topology.last_promotion)
    unreachable = frozenset(item for item, view in listed.items() if not view.reachable)
    asked = instances_to_ask(listed, name, required, unreachable, lease_covers)
    if with_primary and name:
        asked |= {name}
    answers = await asyncio.gather(*(ask(item) for item in sorted(asked)))
    statuses = tuple(item for item in answers if item is not None)
    return StatusRound(name, required, statuses)

"""Plans the reads of one group by the view of it and the expected answers of its instances.

For: `group_service`. Owns whether the log last said that reads cross to another region. Relies on
`core.read_planning` for the decision and on `connections` for what each instance is expected to
take. Times are in seconds of the running loop's clock.
"""

from __future__ import annotations

import asyncio

from orchidwind.promoted.core.read_planning import ReadPlan, ReadRequest, plan_read
from orchidwind.promoted.core.topology import GroupTopology
from orchidwind.promoted.group.connections import GroupConnections
from orchidwind.shared.core.tenant_connections import NO_TENANT
from orchidwind.shared.logs import log_event

# Share of the reads that cross to another region because of late answers from which on it is
# logged.
_LOGGED_SPILL_SHARE = 0.1


class ReadPlans:
    """Plans reads, and logs when they begin to cross to another region and when they stop."""

    def __init__(self, topology: GroupTopology, connections: GroupConnections) -> None:
        self._topology = topology
        self._connections = connections
        self._reads_cross = False
        self._loop = asyncio.get_running_loop()

    def plan(self, request: ReadRequest, tenant: str) -> ReadPlan | None:
        """Return the next attempt of a tenant's read; None if no instance may serve it now."""

        def replica_cost(instance: str) -> float:
            opening = self._connections.opening_cost(instance, tenant)
            return self._expected_work(instance) + opening

        plan = plan_read(
            self._topology,
            request,
            self._loop.time(),
            self._connections.expected_answer,
            self._expected_work,
            None if tenant == NO_TENANT else replica_cost,
        )
        self._log_spill()
        return plan

    def _expected_work(self, instance: str) -> float:
        """Return the expected answer time without the measured round trip that it contains."""
        way = self._topology.way_in_answers(instance, self._loop.time())
        return self._connections.expected_answer(instance, way)

    def _log_spill(self) -> None:
        spill = self._topology.region_spill
        crossing = spill.share > (0.0 if self._reads_cross else _LOGGED_SPILL_SHARE)
        if crossing == self._reads_cross:
            return
        self._reads_cross = crossing
        answers = spill.last_answers
        log_event(
            "reads_cross_region" if crossing else "reads_stay_in_region",
            group=self._topology.settings.name,
            here_ms=int(answers.near * 1000),
            there_ms=int(answers.far * 1000),
            longest_here_ms=int(answers.longest * 1000),
        )

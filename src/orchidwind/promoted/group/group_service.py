"""One promoted group at one proxy: what binds its parts.

What for: sessions ask it for a primary, an instance, a connection and exchanges; the supervisor
asks it for suspects and has it ask instances for their status.

Owns: the view of the group (`GroupState`), whether this proxy is one of its homes, and the order in
which the parts learn of a change of the view:

- `view_changes`: what the directory and the instances report;
- `waiting_requests`: requests that wait until the view shows where they can run;
- `group_breakers`: requests that are refused at once;
- `connections`: server connections and the requests that wait for one;
- `exchanges`, `outstanding_writes`, `held_commits`: from a message to its reply;
- `owed_answers`, `silent_connections`, `status_calls`: instances and connections without answer.

Relies on the directory and the rosters being passed on, and on a supervisor (`group_supervision`).
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable

from msgspec import Struct

from orchidwind.promoted.core.commands import InstanceStatus
from orchidwind.promoted.core.configuration import (
    DatabaseRoute,
    PromotedGroupSettings,
)
from orchidwind.promoted.core.group_state import GroupState
from orchidwind.promoted.core.read_planning import ReadPlan, ReadRequest, plan_read
from orchidwind.promoted.core.steps import Exchange, ExchangeResult
from orchidwind.promoted.core.topology import PrimaryView
from orchidwind.promoted.group.commit_guard import CommitGuard
from orchidwind.promoted.group.connections import ConnectionWait, GroupConnections
from orchidwind.promoted.group.exchanges import ExchangeParts, Exchanges
from orchidwind.promoted.group.group_breakers import GroupBreakers
from orchidwind.promoted.group.held_commits import HeldCommits
from orchidwind.promoted.group.instance_pools import ConnectionShares
from orchidwind.promoted.group.lead_prover import LeadProver
from orchidwind.promoted.group.lease_keeper import LeaseKeeper
from orchidwind.promoted.group.outstanding_writes import OutstandingWrites
from orchidwind.promoted.group.owed_answers import OwedAnswers
from orchidwind.promoted.group.silent_connections import SilentConnections
from orchidwind.promoted.group.status_calls import StatusCall, StatusCalls, status_query
from orchidwind.promoted.group.view_changes import ViewChanges
from orchidwind.promoted.group.waiting_requests import WaitingRequests
from orchidwind.promoted.metrics import ProxyMetrics
from orchidwind.promoted.ports import InstanceConnector
from orchidwind.shared.core.admission import NO_TARGET, TrafficClass
from orchidwind.shared.core.errors import ErrorKind
from orchidwind.shared.core.positions import Position
from orchidwind.shared.core.tenant_connections import NO_TENANT
from orchidwind.shared.logs import log_event
from orchidwind.shared.task_set import TaskSet

# A proxy that is no home watches over a group for so many seconds after it served it. As
# links between proxies are probed at rest for as long after their last use.
_SUPERVISED_AFTER_USE_SECONDS = 5.0
# Connections to each instance of a proxy that is no home, which serves only while no home can be
# reached. The least, as the homes' shares may add up to the instance's limit.
_SHARES_WITHOUT_HOME = ConnectionShares(primary=1, near=1, far=1)


class GroupEnvironment(Struct, frozen=True):
    """What all groups of one proxy share.

    `entry_outlives` is for how many seconds a directory entry stays after its instance's last sign
    of life. `on_used` is called when requests are served here.
    """

    zone: str
    connector: InstanceConnector
    metrics: ProxyMetrics
    leases: LeaseKeeper
    entry_outlives: float
    on_used: Callable[[], None]


class GroupService:
    """Times are in seconds of the running loop's clock."""

    def __init__(
        self,
        settings: PromotedGroupSettings,
        environment: GroupEnvironment,
        on_wake: Callable[[], None],
    ) -> None:
        """`on_wake` is called when the group's supervisor should decide anew."""
        self._environment = environment
        self._metrics = environment.metrics
        self._loop = asyncio.get_running_loop()
        self._on_wake = on_wake
        self._home = False
        self._used_at = float("-inf")
        self._tasks = TaskSet()
        self.state = GroupState(
            settings, environment.zone, self._loop.time, self.changed, environment.entry_outlives
        )
        self.topology = self.state.topology
        self._breakers = GroupBreakers(settings.name)
        self._waiting = WaitingRequests(self._breakers, self._request_waits)
        self._bind_connections()
        self._bind_exchanges()

    def _bind_connections(self) -> None:
        connector, on_silent = self._environment.connector, self._metrics.silent
        self.connections = GroupConnections(
            self.state, connector, self._connection_broke, self.mark_unreachable
        )
        self.status_calls = StatusCalls(
            self.topology, self.connections, self.mark_unreachable, on_silent
        )
        self._writes = OutstandingWrites(self.connections.records)
        self._silent = SilentConnections(
            self.topology, self.connections, self._writes, self.status_calls, on_silent
        )
        self._owed = OwedAnswers(
            self.topology, self.connections.records, self._silent.check, self._on_wake
        )

    def _bind_exchanges(self) -> None:
        leases = self._environment.leases
        self._prover = LeadProver(self.topology, leases, self.ask_status)
        self._guard = CommitGuard(self.topology, self._prover, self.ask_status)
        commits = HeldCommits(self.topology, self._guard, leases, self._breakers)
        self._exchanges = Exchanges(
            ExchangeParts(
                topology=self.topology,
                connections=self.connections,
                writes=self._writes,
                owed=self._owed,
                prover=self._prover,
                commits=commits,
                breakers=self._breakers,
                metrics=self._metrics,
                on_unproven=self._on_wake,
            )
        )
        self.view_changes = ViewChanges(self.topology, self._breakers, commits, self.changed)

    @property
    def settings(self) -> PromotedGroupSettings:
        """The group's settings in force."""
        return self.topology.settings

    # --- this proxy's part in the group -------------------------------------------------------

    @property
    def supervised(self) -> bool:
        """Whether this proxy watches over the group: as a home, or while it serves it anyway."""
        return self._home or self._loop.time() - self._used_at < _SUPERVISED_AFTER_USE_SECONDS

    def _note_used(self) -> None:
        self._used_at = self._loop.time()
        self._environment.on_used()

    def set_home(self, home: bool, shares: ConnectionShares, homes: int = 1) -> None:
        """Whether this proxy is one of so many homes, each with so many connections an instance."""
        if self._home and not home:
            self._close_idle()
        self._home = home
        self.connections.set_shares(shares if home else _SHARES_WITHOUT_HOME, homes)
        self._on_wake()

    def trim(self) -> None:
        """Close connections that were not used lately; a home retains one to each instance."""
        if self.supervised:
            self.connections.trim()
        else:
            self._close_idle()

    def _close_idle(self) -> None:
        self.status_calls.close()
        self.connections.close_idle()

    # --- changes of the view ------------------------------------------------------------------

    def changed(self) -> None:
        """The view changed: waiting requests and the supervisor decide anew."""
        self._waiting.wake()
        self._on_wake()

    def life_ended(self, instance: str, next_life: str) -> None:
        """An instance has started anew: links under its old name may lead to the new life."""
        self.view_changes.life_ended(instance, next_life)
        self.status_calls.close_link(instance)
        self.connections.drop_idle(instance)

    async def forget_old(self) -> None:
        """Drop what belongs to instances that left long ago, if others have their logs."""
        if self.supervised and self.topology.confirming.some_due(self._loop.time()):
            # The primary first: what it has by then, the others must have afterwards.
            views = self.topology.instances.items()
            listed = [name for name, view in views if view.listed]
            for name in sorted(listed, key=lambda name: not self.topology.primary_term(name)):
                await self.ask_status(name)
        for instance in self.topology.confirming.drop_old(self._loop.time(), self.settings):
            self._forget(instance)

    def _forget(self, instance: str) -> None:
        self.status_calls.forget(instance)
        self.connections.forget(instance)
        self._silent.forget(instance)
        self._writes.forget(instance)

    def mark_unreachable(self, instance: str) -> None:
        """An instance does not answer: its idle connections are of no use, reads go elsewhere."""
        view = self.topology.instances.get(instance)
        if view is None:
            return
        if view.unreachable_since is None:
            log_event("instance_unreachable", group=self.settings.name, instance=instance)
        self.topology.unreachable(instance, self._loop.time())
        self.status_calls.close_link(instance)
        self.connections.drop_idle(instance)
        self._silent.end_reads(instance)
        self.changed()

    # --- what requests ask for ----------------------------------------------------------------

    def _request_waits(self) -> None:
        self._note_used()
        self._on_wake()

    async def wait_for_primary(
        self, deadline: float, lead_proof: bool, commit: bool
    ) -> PrimaryView:
        """Wait for a primary; raises RequestError, at once where it is known to be in vain.

        `lead_proof` and `commit` tell whether the request relies on them.
        """
        self._breakers.check_at_primary(lead_proof, self.oldest_write() if commit else None)
        return await self._waiting.wait_for(
            lambda: self.topology.primary(self._loop.time()), deadline, ErrorKind.NO_PRIMARY
        )

    async def wait_for_read_plan(
        self,
        database: DatabaseRoute,
        session_floor: Position | None,
        arrived_at: float,
        excluded: frozenset[str],
        deadline: float,
    ) -> ReadPlan:
        """Wait for an instance that may serve a read; raises RequestError."""

        request = ReadRequest(database, session_floor, arrived_at, excluded)
        expected = self.connections.expected_answer
        plan = await self._waiting.wait_for(
            lambda: plan_read(self.topology, request, self._loop.time(), expected),
            deadline,
            ErrorKind.NO_REPLICA,
        )
        if plan.proof_of_term:
            self._breakers.check_unproven_read()
        return plan

    async def wait_for_connection(
        self,
        instance: str,
        traffic_class: TrafficClass,
        deadline: float,
        target_at: float = NO_TARGET,
        tenant: str = NO_TENANT,
    ) -> int:
        """Wait for a server connection; raises RequestError, BackendConnectionLost."""
        self._note_used()
        self._silent.resting.watch()
        wait = ConnectionWait(traffic_class, deadline, target_at, tenant)
        return await self.connections.acquire(instance, wait)

    def release(self, connection: int, reusable: bool) -> None:
        """Give a connection back."""
        self.connections.release(connection, reusable)

    async def exchange(self, step: Exchange, writes: bool, arrived_at: float) -> ExchangeResult:
        """Send messages and wait; raises BackendConnectionLost."""
        return await self._exchanges.run(step, writes, arrived_at)

    async def prove_lead(self, term: int, deadline: float) -> bool:
        """Ask a replica, now, whether it knows of no term after `term`."""
        try:
            async with asyncio.timeout_at(deadline):
                query = self._prover.join()
                return await self._exchanges.proves(query, term, self._loop.time())
        except TimeoutError:
            # No line: the caller goes on without the proof until its own deadline.
            return False

    # --- what the supervisor asks for ---------------------------------------------------------

    def _connection_broke(self, instance: str) -> None:
        self._owed.connection_broke(instance)

    def suspects(self) -> list[str]:
        """Instances whose connections broke, or that have owed an answer for a while."""
        return self._owed.suspects()

    def oldest_write(self) -> float:
        """How long the oldest write at the present primary has waited, in seconds."""
        now = self._loop.time()
        primary = self.topology.primary(now)
        return 0.0 if primary is None else self._writes.longest_wait(primary.instance, now)

    async def ask(
        self,
        instance: str,
        call: StatusCall,
        hurried: bool = False,
        repeatable: bool = False,
    ) -> InstanceStatus | None:
        """Make a status or control call; None where no status came in time."""
        self._metrics.message("status_or_control")
        status = await self.status_calls.ask(instance, call, hurried, repeatable)
        if status is not None:
            self.view_changes.take_status(status)
        return status

    async def ask_status(self, instance: str) -> InstanceStatus | None:
        """Ask an instance for its status; None where it did not come in time."""
        return await self.ask(instance, status_query, repeatable=True)

    def ask_soon(self, instance: str) -> None:
        """Ask an instance for its status, in the background."""
        self._tasks.start(self.ask_status(instance))

    def close(self) -> None:
        """Close every connection."""
        self._tasks.cancel()
        self._owed.close()
        self._silent.close()
        self._prover.close()
        self._guard.close()
        self.connections.close()
        self.status_calls.close()

"""The interface of one promoted group at one proxy, which connects the group's components.

Sessions use it to obtain a primary, an instance or a connection, and to exchange messages. The
supervisor uses it to list suspect instances and to send status queries.

It owns the view of the group (`GroupState`), whether this proxy is one of its homes, and the order
in which the components learn of a change of the view:

- `view_changes`: reports from the directory and the instances;
- `waiting_requests`: requests that wait until the view shows an instance for them;
- `group_breakers`: circuit breakers that refuse requests at once;
- `connections`: server connections and the requests that wait for one;
- `exchanges`, `outstanding_writes`, `held_commits`: from a message to its reply;
- `overdue_answers`, `silent_connections`, `status_calls`: instances and connections that do not
  answer.

It depends on its caller to pass on the directory and the rosters, and on a supervisor
(`group_supervision`).
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable

from msgspec import Struct

from orchidwind.promoted.core.circuit_breaker import Dependency
from orchidwind.promoted.core.commands import InstanceStatus
from orchidwind.promoted.core.configuration import (
    DatabaseRoute,
    PromotedGroupSettings,
)
from orchidwind.promoted.core.distances import Distances
from orchidwind.promoted.core.group_state import GroupState
from orchidwind.promoted.core.read_planning import ReadPlan, ReadRequest
from orchidwind.promoted.core.steps import Exchange, ExchangeResult
from orchidwind.promoted.core.topology import PrimaryView
from orchidwind.promoted.group.commit_guard import CommitGuard
from orchidwind.promoted.group.connections import ConnectionWait, GroupConnections
from orchidwind.promoted.group.exchanges import ExchangeParts, Exchanges
from orchidwind.promoted.group.group_breakers import GroupBreakers
from orchidwind.promoted.group.held_commits import HeldCommits
from orchidwind.promoted.group.instance_pools import ConnectionShares
from orchidwind.promoted.group.leadership_prover import LeadershipProver
from orchidwind.promoted.group.lease_keeper import LeaseKeeper
from orchidwind.promoted.group.outstanding_writes import OutstandingWrites
from orchidwind.promoted.group.overdue_answers import OverdueAnswers
from orchidwind.promoted.group.read_plans import ReadPlans
from orchidwind.promoted.group.silent_connections import SilentConnections
from orchidwind.promoted.group.status_calls import StatusCall, StatusCalls, status_query
from orchidwind.promoted.group.view_changes import ViewChanges
from orchidwind.promoted.group.waiting_requests import WaitingRequests
from orchidwind.promoted.metrics import ProxyMetrics
from orchidwind.promoted.ports import InstanceConnector, InstanceLink
from orchidwind.shared.core.admission import EQUAL_WEIGHT, NO_TARGET, TrafficClass
from orchidwind.shared.core.errors import ErrorKind
from orchidwind.shared.core.positions import Position
from orchidwind.shared.core.tenant_connections import NO_TENANT
from orchidwind.shared.logs import log_event
from orchidwind.shared.task_set import TaskSet

# A proxy that is not a home supervises a group for this many seconds after it served a request of
# the group. Idle links between proxies are probed for as long after their last use.
_SUPERVISED_AFTER_USE_SECONDS = 5.0
# Connections to each instance for a proxy that is not a home and serves only while no home can be
# reached. The minimum, as the homes' shares may add up to the instance's limit.
_NON_HOME_SHARES = ConnectionShares(primary=1, near=1, far=1)


class GroupEnvironment(Struct, frozen=True):
    """Settings and services shared by all groups of one proxy.

    `entry_outlives` is the number of seconds for which a directory entry stays after its instance's
    last renewal. `on_used` is called when this proxy serves a request of a group. `distances` are
    those from `zone`; without them, all zones are in one region.
    """

    zone: str
    connector: InstanceConnector
    metrics: ProxyMetrics
    leases: LeaseKeeper
    entry_outlives: float
    on_used: Callable[[], None]
    distances: Distances | None = None


class GroupService:
    """One promoted group at one proxy. Times are in seconds of the running loop's clock."""

    def __init__(
        self,
        settings: PromotedGroupSettings,
        environment: GroupEnvironment,
        on_wake: Callable[[], None],
    ) -> None:
        """`on_wake` is called when the group's supervisor should decide again."""
        self._environment = environment
        self._metrics = environment.metrics
        self._loop = asyncio.get_running_loop()
        self._on_wake = on_wake
        self._home = False
        self._used_at = float("-inf")
        self._tasks = TaskSet()
        self.state = GroupState(
            settings,
            environment.zone,
            self._loop.time,
            self.changed,
            environment.entry_outlives,
            environment.distances,
        )
        self.topology = self.state.topology
        self._breakers = GroupBreakers(settings.name)
        self._waiting = WaitingRequests(self._breakers, self._request_waits, self._planned_change)
        self._create_connection_components()
        self._create_exchange_components()

    def _create_connection_components(self) -> None:
        connector, on_silent = self._environment.connector, self._metrics.silent
        self.connections = GroupConnections(
            self.state,
            connector,
            self._connection_broke,
            self.mark_unreachable,
            lambda reason: self._metrics.refused(reason.value),
        )
        self._read_plans = ReadPlans(self.topology, self.connections)
        self.status_calls = StatusCalls(
            self.topology, self.connections, self.mark_unreachable, on_silent
        )
        self._writes = OutstandingWrites(self.connections.records)
        self._silent = SilentConnections(
            self.topology, self.connections, self._writes, self.status_calls, on_silent
        )
        self._overdue = OverdueAnswers(
            self.topology, self.connections.records, self._silent.check, self._on_wake
        )

    def _create_exchange_components(self) -> None:
        leases = self._environment.leases
        self._prover = LeadershipProver(self.topology, leases, self.ask_status)
        self._guard = CommitGuard(self.topology, self._prover, self.ask_status)
        commits = HeldCommits(self.topology, self._guard, leases, self._breakers)
        self._exchanges = Exchanges(
            ExchangeParts(
                topology=self.topology,
                connections=self.connections,
                writes=self._writes,
                overdue=self._overdue,
                prover=self._prover,
                commits=commits,
                breakers=self._breakers,
                metrics=self._metrics,
                on_unproven=self._on_wake,
                ask_on_link=self._ask_on_link,
            )
        )
        self.view_changes = ViewChanges(self.topology, self._breakers, commits, self.changed)

    @property
    def settings(self) -> PromotedGroupSettings:
        """The group's settings in force."""
        return self.topology.settings

    # --- this proxy's role in the group -------------------------------------------------------

    @property
    def supervised(self) -> bool:
        """Whether this proxy supervises the group: as a home, or after recently serving it."""
        return self._home or self._loop.time() - self._used_at < _SUPERVISED_AFTER_USE_SECONDS

    def _note_used(self) -> None:
        self._used_at = self._loop.time()
        self._environment.on_used()

    def set_home(self, home: bool, shares: ConnectionShares, homes: int = 1) -> None:
        """Set whether this proxy is a home, how many homes there are, and its connection shares."""
        if self._home and not home:
            self._close_idle()
        self._home = home
        self.connections.set_shares(shares if home else _NON_HOME_SHARES, homes)
        self._on_wake()

    def trim(self) -> None:
        """Close connections that were not used recently.

        A supervised group keeps one to each instance; otherwise all idle ones are closed.
        """
        if self.supervised:
            self.connections.trim()
            self._measure_distances()
        else:
            self._close_idle()

    def _measure_distances(self) -> None:
        """Ask one instance in each zone whose distance was not measured lately for its status."""
        for instance in self.topology.to_measure(self._loop.time()):
            self.ask_soon(instance)

    def _close_idle(self) -> None:
        self.status_calls.close()
        self.connections.close_idle()

    # --- changes of the view ------------------------------------------------------------------

    def changed(self) -> None:
        """Wake waiting requests and the supervisor after a change of the view."""
        if self.topology.primary(self._loop.time()) is not None:
            self._breakers.succeeded(Dependency.PRIMARY)
        self._waiting.wake()
        self._on_wake()

    def incarnation_ended(self, instance: str, next_life: str) -> None:
        """Drop connections to an instance that restarted as a new incarnation.

        Connections under the old incarnation's name may lead to the new one.
        """
        self.view_changes.incarnation_ended(instance, next_life)
        self.status_calls.close_link(instance)
        self.connections.drop_idle(instance)

    async def forget_departed(self) -> None:
        """Forget instances that left long ago, provided that others hold their logs."""
        if self.supervised and self.topology.confirming.any_expired(self._loop.time()):
            # Ask the primary first: whatever its log holds then, the others must report later.
            views = self.topology.instances.items()
            listed = [name for name, view in views if view.listed]
            for name in sorted(listed, key=lambda name: not self.topology.primary_term(name)):
                await self.ask_status(name)
        for instance in self.topology.confirming.drop_expired(self._loop.time(), self.settings):
            self._forget(instance)

    def _forget(self, instance: str) -> None:
        self.status_calls.forget(instance)
        self.connections.forget(instance)
        self._silent.forget(instance)
        self._writes.forget(instance)

    def mark_unreachable(self, instance: str) -> None:
        """Mark an instance that does not answer: drop its idle connections and move its reads."""
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

    # --- requests -----------------------------------------------------------------------------

    def _planned_change(self) -> bool:
        """Whether a listed instance is leaving: if it is the primary, it is being replaced."""
        views = self.topology.instances.values()
        return any(view.listed and view.entry.draining for view in views)

    def _request_waits(self) -> None:
        self._note_used()
        self._on_wake()

    async def wait_for_primary(
        self, deadline: float, leadership_proof: bool, commit: bool
    ) -> PrimaryView:
        """Wait for a primary. Raises RequestError, at once if a circuit breaker is open.

        `leadership_proof` and `commit` say whether the request depends on a proof of leadership and
        on a commit.
        """
        self._breakers.check_at_primary(leadership_proof, self.oldest_write() if commit else None)
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
        tenant: str = NO_TENANT,
    ) -> ReadPlan:
        """Wait for an instance that may serve a tenant's read. Raises RequestError."""
        request = ReadRequest(database, session_floor, arrived_at, excluded)
        plan = await self._waiting.wait_for(
            lambda: self._read_plans.plan(request, tenant), deadline, ErrorKind.NO_REPLICA
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
        tenant_weight: float = EQUAL_WEIGHT,
    ) -> int:
        """Wait for a server connection. Raises RequestError, BackendConnectionLost."""
        self._note_used()
        self._silent.resting.watch()
        wait = ConnectionWait(traffic_class, deadline, target_at, tenant, tenant_weight)
        return await self.connections.acquire(instance, wait)

    def release(self, connection: int, reusable: bool) -> None:
        """Return a connection to its pool."""
        self.connections.release(connection, reusable)

    async def exchange(self, step: Exchange, writes: bool, arrived_at: float) -> ExchangeResult:
        """Send messages and wait for the replies. Raises BackendConnectionLost."""
        return await self._exchanges.run(step, writes, arrived_at)

    async def prove_lead(self, term: int, arrived_at: float, deadline: float) -> bool:
        """Whether the replicas confirm in time that no later term had begun at `arrived_at`."""
        try:
            async with asyncio.timeout_at(deadline):
                return await self._exchanges.may_read(
                    self._prover.join(arrived_at), term, arrived_at
                )
        except TimeoutError:
            # Not logged: the caller continues without the proof until its own deadline.
            return False

    # --- supervision --------------------------------------------------------------------------

    def _connection_broke(self, instance: str) -> None:
        self._overdue.connection_broke(instance)

    def suspects(self) -> list[str]:
        """Instances whose connections broke or whose answers are overdue."""
        return self._overdue.suspects()

    def oldest_write(self) -> float:
        """How long the oldest pending write at the current primary has waited, in seconds."""
        now = self._loop.time()
        primary = self.topology.primary(now)
        return 0.0 if primary is None else self._writes.longest_wait(primary.instance, now)

    async def ask(
        self,
        instance: str,
        call: StatusCall,
        urgent: bool = False,
        repeatable: bool = False,
    ) -> InstanceStatus | None:
        """Make a status or control call; None if no status arrives in time."""
        self._metrics.message("status_or_control")
        status = await self.status_calls.ask(instance, call, urgent, repeatable)
        if status is not None:
            self._note_round_trip(status)
            self.view_changes.take_status(status)
        return status

    def _note_round_trip(self, status: InstanceStatus) -> None:
        view = self.topology.instances.get(status.instance)
        if view is not None:
            now = self._loop.time()
            self.topology.distances.measured(view.entry.zone, now - status.asked_at, now)

    async def _ask_on_link(self, instance: str, link: InstanceLink) -> None:
        """Ask an instance for its status on a connection that is in use. Raises as `exchange`."""
        self._metrics.message("status_or_control")
        status = await self.status_calls.ask_on_link(instance, link)
        if status is not None:
            self.view_changes.take_status(status)

    async def ask_status(self, instance: str) -> InstanceStatus | None:
        """Ask an instance for its status; None if it does not arrive in time."""
        return await self.ask(instance, status_query, repeatable=True)

    def ask_soon(self, instance: str) -> None:
        """Ask an instance for its status, in the background."""
        self._tasks.start(self.ask_status(instance))

    def close(self) -> None:
        """Cancel all background tasks and close every connection."""
        self._tasks.cancel()
        self._overdue.close()
        self._silent.close()
        self._prover.close()
        self._guard.close()
        self.connections.close()
        self.status_calls.close()

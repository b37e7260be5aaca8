"""Exchanges demands and loans of room at instances with the other home proxies of the same groups.

A proxy's room at an instance is the number of requests that it may have in progress there.

For: `proxy_runtime`, which runs it in the background, and `served_link`, which passes on the
reports of others. Owns when which proxy is asked. `core.demand_shares` decides what is lent;
`group.instance_pools` holds the parts and the windows. Relies on the links for which proxies
answer.

A proxy reports only demands that its own parts can hardly serve, and all groups that it shares with
another proxy in one message. Nothing is sent while there is room everywhere, or by the only home.
"""

from __future__ import annotations

import asyncio
from collections.abc import Iterator, Mapping

from orchidwind.promoted.core.demand_shares import DemandShares
from orchidwind.promoted.core.homes import ProxyMember
from orchidwind.promoted.core.peer_messages import (
    InstanceDemand,
    InstanceLoan,
    ViewQuery,
    ViewReport,
)
from orchidwind.promoted.group.group_service import GroupService
from orchidwind.promoted.metrics import ProxyMetrics
from orchidwind.promoted.peers.peer_link import PeerLink
from orchidwind.promoted.peers.peer_network import PeerNetwork
from orchidwind.shared.core.errors import PeerUnavailable
from orchidwind.shared.logs import log_event
from orchidwind.shared.task_set import TaskSet

# Interval at which demands are sampled and expired loans are noticed, seconds.
_SAMPLE_SECONDS = 0.05
# Shortest interval between two reports to one proxy that lends, seconds.
_ASK_SECONDS = 0.2
# The same after a proxy lent nothing, seconds.
_ASK_IN_VAIN_SECONDS = 0.4
# Time limit for an answer, seconds. A later one would leave little of a loan's validity.
_ANSWER_SECONDS = 0.5
# A part that differs by this factor from the one logged last is logged again.
_LOGGED_CHANGE = 1.5
# Shortest interval between two log lines about one instance or one proxy, seconds.
_LOG_SECONDS = 5.0
# Interval at which records of groups, instances and proxies that left are dropped, seconds.
_FORGET_SECONDS = 30.0


def report_known(query: ViewQuery) -> ViewReport:
    """Answer the query for `ROOM_VIEW`: this build knows reports of demands."""
    return ViewReport(query.number, known=True, age=0.0, revision=-1)


class RoomExchange:
    """This proxy's side of the exchange. Times are in seconds of the loop's clock."""

    def __init__(
        self,
        own: str,
        homes: PeerNetwork,
        groups: Mapping[str, GroupService],
        metrics: ProxyMetrics,
    ) -> None:
        self._own = own
        self._homes = homes
        self._groups = groups
        self._metrics = metrics
        self._loop = asyncio.get_running_loop()
        self._tasks = TaskSet()
        # By proxy: when it may be asked again; infinite while a query is on its way.
        self._ask_at: dict[str, float] = {}
        # By group and instance: the part and the time of the last log line.
        self._logged: dict[tuple[str, str], tuple[float, float]] = {}
        # By proxy: when it was last logged that it did not answer.
        self._failure_logged_at: dict[str, float] = {}
        self._forget_at = self._loop.time() + _FORGET_SECONDS

    async def run(self) -> None:
        """Sample the demands, set the windows and ask for loans, until cancelled."""
        while True:
            await asyncio.sleep(_SAMPLE_SECONDS)
            self._sample()
            self._ask_others()
            self._forget_old()

    def close(self) -> None:
        """Cancel the queries that are on their way."""
        self._tasks.cancel()

    def lend(self, proxy: str, demands: tuple[InstanceDemand, ...]) -> tuple[InstanceLoan, ...]:
        """Lend to a proxy that reports its demands; return the loans."""
        if not proxy:
            return ()
        lent = (self._lend(proxy, report) for report in demands)
        return tuple(loan for loan in lent if loan is not None)

    def _lend(self, proxy: str, report: InstanceDemand) -> InstanceLoan | None:
        group = self._groups.get(report.group)
        if group is None or not self._shares_homes(report.group, proxy):
            return None
        now = self._loop.time()
        pools = group.connections.pools
        if report.instance not in group.topology.instances:
            return None
        # An instance that this proxy has not used yet has a part to lend as well: create its pool.
        pools.of(report.instance)
        shares = pools.demand_shares(report.instance)
        assert shares is not None
        amount = shares.lend(proxy, report.demand, now)
        if not amount:
            return None
        pools.update_window(report.instance, now)
        return InstanceLoan(report.group, report.instance, amount)

    def _shares_homes(self, group: str, proxy: str) -> bool:
        """Whether both this proxy and another are homes of a group."""
        placed = self._homes.placement(group)
        return placed.includes(self._own) and placed.includes(proxy)

    def _sample(self) -> None:
        now = self._loop.time()
        for name, group in self._groups.items():
            pools = group.connections.pools
            for pool in pools:
                shares = pools.demand_shares(pool.instance)
                assert shares is not None
                if not shares.sample(len(pool.running) + len(pool.queue), now):
                    continue
                pools.update_window(pool.instance, now)
                self._log_change(name, pool.instance, shares, now)

    def _log_change(self, group: str, instance: str, shares: DemandShares, now: float) -> None:
        part = shares.part(now)
        logged, at = self._logged.get((group, instance), (shares.base, float("-inf")))
        low, high = sorted((part, logged))
        if now - at < _LOG_SECONDS or high <= low * _LOGGED_CHANGE:
            return
        self._logged[group, instance] = (part, now)
        log_event(
            "instance_room_changed",
            group=group,
            instance=instance,
            part=round(part, 2),
            base=round(shares.base, 2),
            lent=round(shares.lent(now), 2),
            borrowed=round(shares.borrowed(now), 2),
            demand=round(shares.demand, 2),
        )

    def _ask_others(self) -> None:
        now = self._loop.time()
        for member, demands in self._demands_by_proxy().items():
            if self._ask_at.get(member.name, now) > now:
                continue
            link = self._homes.usable_link(member)
            if link is not None:
                self._ask_at[member.name] = float("inf")
                self._tasks.start(self._ask(member, link, tuple(demands)))

    def _forget_old(self) -> None:
        """Forget log times and pauses that are over: groups, instances and proxies come and go."""
        now = self._loop.time()
        if now < self._forget_at:
            return
        self._forget_at = now + _FORGET_SECONDS
        self._ask_at = {name: at for name, at in self._ask_at.items() if at > now}
        logged = self._failure_logged_at.items()
        self._failure_logged_at = {name: at for name, at in logged if now - at < _LOG_SECONDS}
        known = {
            (name, pool.instance)
            for name, group in self._groups.items()
            for pool in group.connections.pools
        }
        self._logged = {key: last for key, last in self._logged.items() if key in known}

    def _demands_by_proxy(self) -> dict[ProxyMember, list[InstanceDemand]]:
        """The demands to report to each other home."""
        demands: dict[ProxyMember, list[InstanceDemand]] = {}
        for name, group in self._groups.items():
            wanted = list(self._high_demands(name, group))
            if not wanted or not self._homes.is_home(name):
                continue
            for member in self._homes.placement(name).homes:
                if member.name != self._own:
                    demands.setdefault(member, []).extend(wanted)
        return demands

    def _high_demands(self, name: str, group: GroupService) -> Iterator[InstanceDemand]:
        pools = group.connections.pools
        for pool in pools:
            shares = pools.demand_shares(pool.instance)
            if shares is not None and shares.needs_loans():
                yield InstanceDemand(name, pool.instance, shares.demand)

    async def _ask(
        self, member: ProxyMember, link: PeerLink, demands: tuple[InstanceDemand, ...]
    ) -> None:
        """Report demands to a proxy and use what it lends."""
        asked_at = self._loop.time()
        pause = _ASK_IN_VAIN_SECONDS
        try:
            async with asyncio.timeout(_ANSWER_SECONDS):
                loans = await link.ask_room(demands)
        except (PeerUnavailable, TimeoutError) as error:
            self._metrics.room_query("failed")
            self._log_failure(member.name, str(error) or "no answer in time")
        else:
            self._metrics.room_query("lent" if loans else "nothing")
            self._use(member.name, demands, loans, asked_at)
            pause = _ASK_SECONDS if loans else pause
        finally:
            self._ask_at[member.name] = asked_at + pause

    def _log_failure(self, proxy: str, reason: str) -> None:
        now = self._loop.time()
        if now - self._failure_logged_at.get(proxy, float("-inf")) >= _LOG_SECONDS:
            self._failure_logged_at[proxy] = now
            log_event("room_not_lent", peer=proxy, reason=reason)

    def _use(
        self,
        lender: str,
        demands: tuple[InstanceDemand, ...],
        loans: tuple[InstanceLoan, ...],
        asked_at: float,
    ) -> None:
        lent = {(loan.group, loan.instance): loan.amount for loan in loans}
        for report in demands:
            pools = self._groups[report.group].connections.pools
            shares = pools.demand_shares(report.instance)
            if shares is not None:
                amount = lent.get((report.group, report.instance), 0.0)
                shares.borrow(lender, amount, asked_at)
                pools.update_window(report.instance, self._loop.time())

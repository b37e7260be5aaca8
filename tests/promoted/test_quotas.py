"""Tenants' quotas across a fleet of proxies on virtual time, through partitions and restarts.

Guards against a quota that each proxy enforces alone: as no proxy knew what the others admitted,
1,487 statements of a tenant beyond its quota ran in five seconds where 997 were allowed.
"""

import asyncio
from collections import Counter

import pytest
from msgspec.structs import replace

from orchidwind.promoted.callers.session_executor import SessionExecutor
from orchidwind.promoted.core.commands import Command, CommandKind
from orchidwind.promoted.core.configuration import ReadConsistency
from orchidwind.promoted.quotas.quota_service import QuotaService
from orchidwind.promoted.views.followed_views import ProxyBounds
from orchidwind.shared.core.errors import ErrorKind, RequestError
from orchidwind.shared.core.quota import QuotaRules
from orchidwind.shared.core.tenants import Tenant, key_digest
from orchidwind_bench.promoted.simulation.callers import PromotedSystem
from orchidwind_bench.promoted.simulation.store import GROUP, STORE
from orchidwind_bench.promoted.simulation.virtual_time import run_virtual
from orchidwind_bench.promoted.simulation.world import ExpectedRequest

PROXIES = tuple(f"proxy-{letter}" for letter in "abcdef")
RULES = QuotaRules(window=5.0, overshoot=0.1, slack=20.0)
BOUNDS = ProxyBounds(configuration=3.0, revocation=5.0, quotas=RULES)
KEYS = {"tern": "key-tern", "heron": "key-heron"}
TENANTS = {
    "tern": Tenant("tern", (key_digest("key-tern"),), 40.0, 40.0),
    "heron": Tenant("heron", (key_digest("key-heron"),), 6.0, 6.0),
}


def allowed(tenant):
    """The largest number of statements of a tenant that may run in a window."""
    limit = tenant.rate * RULES.window + tenant.burst
    return limit * (1 + RULES.overshoot) + RULES.slack


def configure(system, **changes):
    """Apply a new version of the configuration with changed tenants."""
    store = system.world.store
    tenants = tuple({**TENANTS, **changes}.values())
    version = store.configuration.version + 1
    store.put_configuration(replace(store.configuration, version=version, tenants=tenants))


class ReadSender:
    """Sends single reads of one tenant at a steady rate to the given proxies in turn."""

    def __init__(self, system, tenant, every, proxies=PROXIES):
        self.outcomes = []
        self._system = system
        self._tenant = tenant
        self._every = every
        self._proxies = proxies

    async def run(self, seconds):
        """Send reads for a number of seconds and wait for all answers."""
        loop = asyncio.get_running_loop()
        tasks = []
        for number in range(int(seconds / self._every)):
            node = self._system.nodes[self._proxies[number % len(self._proxies)]]
            tasks.append(loop.create_task(self._send(node, f"{self._tenant}-{loop.time():.4f}")))
            await asyncio.sleep(self._every)
        await asyncio.gather(*tasks)

    async def _send(self, node, request_id):
        began = self._system.world.now
        self._system.world.history.expected[request_id] = ExpectedRequest(
            began, ReadConsistency.BOUNDED, 1.5, 0, (), (), self._tenant
        )
        try:
            executor = SessionExecutor(node, "bounded", key_digest(KEYS[self._tenant]))
            await executor.execute(Command(request_id, CommandKind.READ, "READ x"))
            self.outcomes.append((began, None))
        except RequestError as error:
            self.outcomes.append((began, error.kind))

    def refused(self, since=0.0, until=float("inf")):
        """The number of refused operations that began in a span of time, by error kind."""
        return Counter(kind for at, kind in self.outcomes if kind and since <= at < until)


def most_in_a_window(system, tenant):
    """The largest number of statements of a tenant that ran in any window."""
    times = sorted(item.at for item in system.world.history.ran if item.tenant == tenant)
    most, first = 0, 0
    for last, at in enumerate(times):
        while at - times[first] > RULES.window:
            first += 1
        most = max(most, last - first + 1)
    return most


def run_scenario(scenario, proxies=PROXIES, connection_limit=32):
    """Run a scenario on a system with tenants, 3 s after its start. Returns the system."""

    async def work():
        system = PromotedSystem(
            1, proxies=proxies, bounds=BOUNDS, connection_limit=connection_limit
        )
        configure(system)
        shipping = asyncio.create_task(system.group.keep_shipping())
        for node in system.nodes.values():
            assert await node.wait_prepared(5.0)
        await asyncio.sleep(3.0)
        await scenario(system)
        shipping.cancel()
        return system

    system = run_virtual(work())
    assert system.world.history.broken == []
    for name, tenant in TENANTS.items():
        assert most_in_a_window(system, name) <= allowed(tenant), name
    return system


def test_a_tenant_within_its_quota_is_served_wherever_it_asks():
    async def scenario(system):
        spread = ReadSender(system, "tern", 1 / 30)
        at_one_proxy = ReadSender(system, "heron", 1 / 4, PROXIES[:1])
        await asyncio.gather(spread.run(20.0), at_one_proxy.run(20.0))
        assert spread.refused() == Counter()
        assert at_one_proxy.refused() == Counter()

    run_scenario(scenario)


@pytest.mark.parametrize("connection_limit", [32, 12])
def test_a_tenant_beyond_its_quota_gets_it_and_costs_the_other_nothing(connection_limit):
    """The lower connection limit makes some proxies forward to home proxies."""

    async def scenario(system):
        hot = ReadSender(system, "tern", 1 / 300)
        other = ReadSender(system, "heron", 1 / 4)
        await asyncio.gather(hot.run(15.0), other.run(15.0))
        served = sum(kind is None for _, kind in hot.outcomes)
        assert served >= 0.9 * TENANTS["tern"].rate * 15.0
        assert set(hot.refused()) == {ErrorKind.QUOTA_EXCEEDED}
        assert other.refused() == Counter()

    run_scenario(scenario, connection_limit=connection_limit)


def test_the_quota_holds_and_is_granted_while_a_home_sends_its_commands_to_another():
    """The home of a tenant reaches no instance; what it admits and does not run is refunded."""

    async def scenario(system):
        await ReadSender(system, "heron", 1 / 4).run(1.0)
        homes = system.nodes[PROXIES[0]].homes
        home = next(homes.usable_homes(GROUP, "heron"))
        for instance in system.group.instances:
            system.world.network.cut(home, instance)
        await asyncio.sleep(1.0)
        began = system.world.now
        hot = ReadSender(system, "tern", 1 / 100)
        within_quota = ReadSender(system, "heron", 1 / 4)
        await asyncio.gather(hot.run(12.0), within_quota.run(12.0))
        late = [kind for at, kind in within_quota.outcomes if at > began + 1.0]
        assert len(late) > 40
        assert late.count(None) >= 0.95 * len(late), Counter(late)

    run_scenario(scenario, connection_limit=12)


def test_quota_holds_while_proxies_restart_one_by_one_and_all_together():
    async def scenario(system):
        async def inject_faults():
            for name in PROXIES[:3]:
                await asyncio.sleep(1.0)
                system.restart_proxy(name)
            await asyncio.sleep(2.0)
            system.start_proxies()

        hot = ReadSender(system, "tern", 1 / 300)
        other = ReadSender(system, "heron", 1 / 4)
        await asyncio.gather(hot.run(15.0), other.run(15.0), inject_faults())
        assert other.refused(since=system.world.now - 5.0) == Counter()

    run_scenario(scenario)


def test_quota_holds_while_a_partition_cuts_half_of_the_fleet_off_the_store():
    async def scenario(system):
        async def inject_faults():
            await asyncio.sleep(2.0)
            cut = PROXIES[:3]
            for name in cut:
                system.world.network.cut(name, STORE)
                for other in PROXIES[3:]:
                    system.world.network.cut(name, other)
            await asyncio.sleep(10.0)
            system.world.network.heal()

        hot = ReadSender(system, "tern", 1 / 300)
        await asyncio.gather(hot.run(20.0), inject_faults())
        cut_off = hot.refused(since=3.0 + 2.0 + 5.5, until=3.0 + 11.5)
        assert cut_off[ErrorKind.CONFIGURATION_TOO_OLD] > 0

    run_scenario(scenario)


def test_an_isolated_home_proxy_serves_its_share_of_each_tenant():
    """Guards against uneven shares of the quotas.

    In a partitioned fleet one home proxy of six served a third of the callers with an eighth of
    most quotas, and refused 2,400 commands in four seconds.
    """

    async def scenario(system):
        for other in (STORE, *PROXIES[1:]):
            system.world.network.cut(PROXIES[0], other)
        senders = [
            ReadSender(system, name, 6.5 / TENANTS[name].rate, PROXIES[:1]) for name in TENANTS
        ]
        await asyncio.gather(*(sender.run(4.0) for sender in senders))
        for sender in senders:
            assert ErrorKind.QUOTA_EXCEEDED not in sender.refused()

    run_scenario(scenario)


def test_a_key_that_is_taken_away_is_of_no_use_after_the_bound_on_any_proxy():
    async def scenario(system):
        sender = ReadSender(system, "heron", 1 / 4)
        for name in PROXIES[:2]:
            system.world.network.cut(name, STORE)
            for other in PROXIES[2:]:
                system.world.network.cut(name, other)
        sending = asyncio.create_task(sender.run(12.0))
        await asyncio.sleep(1.0)
        configure(system, heron=Tenant("heron", (key_digest("another"),), 6.0, 6.0))
        revoked_at = system.world.now
        await sending
        ran = [item.at for item in system.world.history.ran if item.tenant == "heron"]
        assert ran and max(ran) <= revoked_at + BOUNDS.revocation
        kinds = set(sender.refused())
        assert {ErrorKind.AUTHENTICATION_FAILED, ErrorKind.CONFIGURATION_TOO_OLD} <= kinds

    run_scenario(scenario)


def test_requests_are_served_during_a_store_outage_up_to_the_bound():
    """The bound is 3 s after the store was last heard of."""

    async def scenario(system):
        sender = ReadSender(system, "tern", 1 / 20)
        sending = asyncio.create_task(sender.run(15.0))
        await asyncio.sleep(2.0)
        down_at = system.world.now
        system.world.store.down = True
        await asyncio.sleep(8.0)
        system.world.store.down = False
        up_at = system.world.now
        await sending
        assert sender.refused(until=down_at + 3.0) == Counter()
        assert sender.refused(since=down_at + 6.0, until=up_at).total() > 0
        assert sender.refused(since=up_at + 1.0) == Counter()

    run_scenario(scenario)


def test_a_proxy_that_starts_counts_the_age_of_what_another_told_it():
    """It gets its first configuration from a proxy that last confirmed it seconds before."""

    async def scenario(system):
        for name in PROXIES:
            system.world.network.cut(name, STORE)
        await asyncio.sleep(2.0)
        down_since = system.world.now - 2.0
        system.restart_proxy("proxy-a")
        node = system.nodes["proxy-a"]
        for _ in range(60):
            await asyncio.sleep(0.1)
            if node.configuration is not None:
                assert node.views.configuration_age >= system.world.now - down_since - 0.1

    run_scenario(scenario)


def test_an_error_while_borrowing_tokens_fails_one_operation_and_not_later_ones():
    """Guards against a failed request that stays marked as under way, so that later ones fail."""

    class FailingLink:
        def __init__(self):
            self.calls = 0

        async def ask_tokens(self, tenant, wanted):
            self.calls += 1
            raise ValueError("a fault of the program")

    async def work():
        link = FailingLink()
        service = QuotaService(RULES, lambda: TENANTS, lambda: [link])
        for _ in range(2):
            with pytest.raises(ValueError, match="a fault of the program"):
                await service.admit_operation("heron")
        assert link.calls == 2

    run_virtual(work())


def test_a_tenant_without_a_quota_has_the_mean_weight_of_the_others():
    """A weight without bound would let it use all connections."""

    async def work():
        unlimited = Tenant("grebe", (), float("inf"), float("inf"))
        tenants = {
            "tern": Tenant("tern", (), 100.0, 10.0),
            "heron": Tenant("heron", (), 300.0, 10.0),
            "grebe": unlimited,
        }
        service = QuotaService(RULES, lambda: tenants, lambda: [])
        assert service.weight("heron") == 300.0
        assert service.weight("grebe") == 200.0
        assert service.weight("") == 200.0
        alone = QuotaService(RULES, lambda: {"grebe": unlimited}, lambda: [])
        assert alone.weight("grebe") == 1.0

    run_virtual(work())

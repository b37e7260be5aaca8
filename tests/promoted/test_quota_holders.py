"""Who holds the tenants' quotas while proxies are lost, replaced, cut off and started."""

from test_quotas import ReadSender, run_scenario

from orchidwind.shared.core.errors import ANSWERS, ErrorKind, Ran
from orchidwind_bench.promoted.simulation.store import STORE

# Proxies of which only some are homes: the connection limit allows two homes in each zone.
FLEET = tuple(f"proxy-{letter}" for letter in "abcdefghijkl")
FLEET_CONNECTIONS = 36


def holders_of(system):
    return system.world.store.quota_shares.holders


def cut_off(system, names):
    """Cuts proxies off the store and all other proxies; instances and callers still reach them."""
    for name in names:
        for other in (STORE, *system.nodes):
            if other != name:
                system.world.network.cut(name, other)


def test_a_proxy_reads_the_shares_once_it_has_to_admit_operations():
    """Guards against a proxy that refuses every operation for a share that it never reads.

    Only work on a group made a proxy follow the shares; without tokens no operation came so far.
    """

    async def scenario(system):
        holders = holders_of(system)
        front = next(name for name in FLEET if name not in holders)
        assert system.nodes[front].quota_shares.holders == ()
        cut_off(system, holders)
        await ReadSender(system, "tern", 0.5, (front,)).run(2.0)
        assert system.nodes[front].quota_shares.holders == holders

    run_scenario(scenario, FLEET, FLEET_CONNECTIONS)


def test_a_refusal_names_a_quota_that_is_not_in_force():
    """Guards against telling a tenant that used nothing that it has used up its quota."""

    async def scenario(system):
        holders = holders_of(system)
        survivors = tuple(name for name in FLEET if name not in holders)
        sender = ReadSender(system, "heron", 0.5, survivors)
        cut_off(system, holders)
        await sender.run(4.0)
        refused = sender.refused()
        assert refused[ErrorKind.QUOTA_UNAVAILABLE] > 0
        assert ErrorKind.QUOTA_EXCEEDED not in refused
        assert ANSWERS[ErrorKind.QUOTA_UNAVAILABLE].ran is Ran.NO

    run_scenario(scenario, FLEET, FLEET_CONNECTIONS)

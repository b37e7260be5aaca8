"""An instance that is restarted under its identity has lost its log.

The fault guarded against: the only replica that had received a commit restarts with an empty log,
and the primary is lost. If the restarted replica counted as the member it was, it and a replica
that lagged would be two members of three, which looks as if one of them had every acknowledged
commit. The lagging replica would become primary without the commit.
"""

import asyncio

import pytest
from hypothesis import given
from hypothesis import strategies as st
from support.platform_system import SERVICE, LineClient, with_system
from support.scripted_days import deafen, play

from orchidwind.promoted.core.commands import InstanceRole, InstanceStatus
from orchidwind.promoted.core.configuration import DirectoryEntry, PromotedGroupSettings
from orchidwind.promoted.core.failover_choice import choose_candidate, needed_fences
from orchidwind.promoted.core.failover_steps import FailoverReason
from orchidwind.promoted.core.instance_incarnations import identity_of, incarnation_name, start_of
from orchidwind.promoted.core.store_revision import StoreRevision
from orchidwind.promoted.core.supervision import GroupSupervisor
from orchidwind.promoted.core.topology import GroupTopology
from orchidwind.promoted.instance_directory import InstanceDirectory
from orchidwind.promoted.ports import Changes, Listing
from orchidwind.shared.core.positions import Position

FENCE = 9
REVISION = StoreRevision(1)


@given(st.text(max_size=12), st.integers(0, 2**53))
def test_a_name_tells_identity_and_start(identity, start):
    name = incarnation_name(f"i-{identity}", start)
    if start:
        assert (identity_of(name), start_of(name)) == (f"i-{identity}", start)
    else:
        assert name == f"i-{identity}"


def entry(name, port, claims_primary=False):
    return DirectoryEntry(name, "ledger", "host", port, "z", claims_primary, False, 3, 1)


class Group:
    """A group as the directory calls it: passes changes on to the topology."""

    def __init__(self):
        self.topology = GroupTopology(PromotedGroupSettings("ledger", 10, 1), "z")
        self.settings = self.topology.settings
        self.view_changes = self
        self.supervisor = GroupSupervisor(self.topology)
        self.now = 10.0

    def entry_changed(self, changed):
        self.topology.entry_changed(changed)

    def entry_gone(self, instance, removal_unseen):
        self.topology.entry_gone(instance, self.now, removal_unseen)

    def incarnation_ended(self, instance, next_life):
        self.topology.incarnation_ended(instance, self.now)

    def listed(self):
        return {name for name, view in self.topology.instances.items() if view.listed}


@pytest.fixture
def group():
    return Group()


@pytest.fixture
def directory(group):
    directory = InstanceDirectory({"ledger": group}, lambda: None)
    entries = (entry("p@1", 1, True), entry("r@1", 2), entry("s@1", 3))
    directory.listed(Listing(entries, REVISION))
    primary = InstanceStatus("p@1", InstanceRole.PRIMARY, 1, Position(1, 5), 0, 9.0)
    group.topology.take_status(primary)
    group.supervisor.decide(9.0, [], 0.0, 0.0, True)
    return directory


def status(name, received, fence=FENCE):
    return InstanceStatus(name, InstanceRole.REPLICA, 1, Position(1, received), fence, 10.0)


def plan_of(group):
    return group.supervisor.plan(group.now, FailoverReason.UNREACHABLE, True)


def test_a_later_incarnation_ends_the_previous_one(group, directory):
    directory.changed(Changes((entry("r@2", 2),), (), REVISION))
    assert group.listed() == {"p@1", "r@2", "s@1"}
    assert group.topology.instances["r@1"].ended
    assert not group.topology.instances["r@1"].usable(group.now)
    assert set(directory.entries) == {"p@1", "r@2", "s@1"}


@pytest.mark.parametrize("late", ["change", "listing"])
def test_a_late_entry_of_an_earlier_incarnation_is_ignored(group, directory, late):
    directory.changed(Changes((entry("r@2", 2),), (), REVISION))
    if late == "change":
        directory.changed(Changes((entry("r@1", 2),), (), REVISION))
    else:
        directory.listed(Listing((entry("p@1", 1), entry("r@1", 2), entry("s@1", 3)), REVISION))
    assert "r@1" not in directory.entries
    assert group.topology.instances["r@1"].ended


def test_an_entry_goes_by_the_identity(group, directory):
    directory.changed(Changes((entry("r@2", 2),), ("s",), REVISION))
    directory.changed(Changes((), ("r",), REVISION))
    assert group.listed() == {"p@1"}


def test_the_log_of_an_ended_incarnation_counts_as_missing(group, directory):
    before = plan_of(group)
    fenced = {name: status(name, received) for name, received in (("r@1", 5), ("s@1", 3))}
    assert choose_candidate(before, fenced, None, FENCE).instance == "r@1"
    directory.changed(Changes((entry("r@2", 2),), (), REVISION))
    after = plan_of(group)
    assert set(after.members) == {"p@1", "r@1", "r@2", "s@1"}
    assert needed_fences(after) == 3
    fenced = {name: status(name, received) for name, received in (("r@2", 0), ("s@1", 3))}
    assert choose_candidate(after, fenced, None, FENCE) is None, "s@1 lacks what r@1 had"
    assert "r@1" not in group.topology.confirming.replacements(), "r@2 is at its address, empty"


def test_the_log_of_a_primary_that_started_anew_is_the_longest_of_the_others(group, directory):
    directory.changed(Changes((entry("p@2", 1),), (), REVISION))
    plan = plan_of(group)
    names = (("p@2", 0), ("r@1", 5), ("s@1", 3))
    fenced = {name: status(name, received) for name, received in names}
    assert choose_candidate(plan, fenced, None, FENCE).instance == "r@1"


def test_a_proxy_serves_an_instance_in_its_next_incarnation(tmp_path):
    """Over sockets: the instance answers to its identity alone, in each incarnation."""

    async def scenario(system):
        topology = system.proxy._proxy.groups[SERVICE].topology
        before = {name for name, view in topology.instances.items() if view.listed}
        assert before == {
            incarnation_name(name, 1_780_000_000_000) for name in system.group.instances
        }
        system.born = 1_780_000_005_000
        system.write_entry(system.group.instances["i-1"])
        await asyncio.sleep(0.5)
        assert topology.instances["i-1@1780000000000"].ended
        assert topology.instances["i-1@1780000005000"].listed
        client = await LineClient.open(system.front_port)
        assert (await client.ask("WRITE 1a4 data"))[-1].startswith("READY I")

    with_system(tmp_path, scenario, born=1_780_000_000_000)


def test_a_promotion_names_the_identity(tmp_path):
    async def scenario(system):
        client = await LineClient.open(system.front_port)
        assert (await client.ask("WRITE 1a4 data"))[-1].startswith("READY I")
        system.crash("i-0")
        deadline = asyncio.get_running_loop().time() + 6
        while asyncio.get_running_loop().time() < deadline and not system.store.promotions:
            await client.ask("WRITE 1a4 more")
        assert system.store.promotions[0][:2] in ((SERVICE, "i-1"), (SERVICE, "i-2"))

    with_system(tmp_path, scenario, born=7)


# --- on virtual time ------------------------------------------------------------------------------


def history_after_empty_restart(seed, told):
    """Run a schedule in which the only replica that had the last commits restarts empty.

    i-2 receives nothing from 3.0 s on. At 3.5 s i-1 restarts and the primary crashes, for 3 s.
    Returns the history.
    """

    def start_and_crash(system):
        system.group.start_anew("i-1", told)
        system.group.primary().crash()

    plan = [
        (3.0, lambda system: deafen(system, "i-2")),
        (3.5, start_and_crash),
        (6.5, lambda system: system.group.instances["i-0"].restart()),
    ]
    system = play(seed, plan, 14.0)
    return system.world.history


@pytest.mark.parametrize("seed", range(6))
def test_commits_of_an_ended_incarnation_are_missed_until_the_primary_is_back(seed):
    history = history_after_empty_restart(seed, told=True)
    assert history.broken == []
    assert [commit for commit in history.acknowledged if commit.at > 7.0], "served again"


def test_without_a_name_for_each_incarnation_commits_are_lost():
    """Shows that the fault is real: without start times in the entries a proxy cannot notice it."""
    assert any("LOST" in blame for blame in history_after_empty_restart(1, told=False).broken)

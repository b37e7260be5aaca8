"""Membership and the spread of configurations, with the production classes in the simulator."""

import pytest
from hypothesis import given
from hypothesis import strategies as st

from orchidwind_bench.elected.simulation.members import MemberCluster, sample_configuration
from orchidwind_bench.elected.simulation.network import NetworkSettings

ZONES = ["one/a", "one/b", "two/c"]


def joined_cluster(count, seed=1, **options):
    cluster = MemberCluster(ZONES, seed=seed, **options)
    cluster.add_nodes(count)
    names = set(cluster.nodes)
    assert cluster.events.run_while(lambda: not cluster.everyone_sees(names), 30.0)
    return cluster


@pytest.mark.parametrize("count", [1, 3, 30])
def test_all_nodes_join(count):
    joined_cluster(count)


def test_all_nodes_detect_a_killed_node():
    cluster = joined_cluster(12)
    cluster.kill("node-5")
    names = set(cluster.nodes) - {"node-5"}
    assert cluster.events.run_while(
        lambda: not cluster.everyone_sees(names), cluster.events.now + 30.0
    )


def test_leaving_node_gets_no_role_within_a_second():
    cluster = joined_cluster(12)
    cluster.nodes["node-4"].leave()
    names = set(cluster.nodes) - {"node-4"}
    left_at = cluster.events.now
    assert cluster.events.run_while(lambda: not cluster.everyone_sees(names), left_at + 10.0)
    assert cluster.events.now - left_at < 3.0


def test_paused_node_rejoins_after_it_resumes():
    cluster = joined_cluster(8)
    cluster.network.pause("node-2")
    cluster.events.run_until(cluster.events.now + 20.0)
    assert not cluster.everyone_sees(set(cluster.nodes))
    cluster.network.resume("node-2")
    assert cluster.events.run_while(
        lambda: not cluster.everyone_sees(set(cluster.nodes)), cluster.events.now + 60.0
    )


def test_node_restarted_without_state_rejoins_as_the_same_member():
    cluster = joined_cluster(8)
    cluster.kill("node-3")
    cluster.events.run_until(cluster.events.now + 2.0)
    cluster.start_node("node-3", ZONES[0])
    assert cluster.events.run_while(
        lambda: not cluster.everyone_sees(set(cluster.nodes)), cluster.events.now + 60.0
    )


def test_two_percent_packet_loss_declares_no_member_dead():
    cluster = joined_cluster(20, network=NetworkSettings(loss=0.02))
    version_before = {node.name: node.view_changes for node in cluster.live()}
    cluster.events.run_until(cluster.events.now + 120.0)
    changes = {node.name: node.view_changes - version_before[node.name] for node in cluster.live()}
    assert cluster.everyone_sees(set(cluster.nodes))
    assert set(changes.values()) == {0}


def test_views_follow_a_zone_partition_and_its_end():
    cluster = joined_cluster(9)
    for other in ZONES[:2]:
        cluster.network.cut(ZONES[2], other)
    cluster.events.run_until(cluster.events.now + 40.0)
    inside = {node.name for node in cluster.live() if node.zone == ZONES[2]}
    for node in cluster.live():
        seen = {member.name for member in node.membership.usable()}
        assert seen == (inside if node.name in inside else set(cluster.nodes) - inside)
    cluster.network.heal()
    assert cluster.events.run_while(
        lambda: not cluster.everyone_sees(set(cluster.nodes)), cluster.events.now + 180.0
    )


def versions_never_fall(cluster):
    for node in cluster.nodes.values():
        versions = [version for _, version in node.adopted]
        assert versions == sorted(set(versions)), f"{node.name} adopted versions {versions}"


def test_configuration_reaches_all_nodes_through_few_readers():
    cluster = joined_cluster(30)
    cluster.platform.document = sample_configuration(1, ZONES, 4)
    assert cluster.events.run_while(lambda: not cluster.everyone_has(1), cluster.events.now + 30.0)
    cluster.platform.readers.clear()
    changed_at = cluster.events.now
    cluster.platform.document = sample_configuration(2, ZONES, 5)
    assert cluster.events.run_while(lambda: not cluster.everyone_has(2), changed_at + 30.0)
    assert cluster.events.now - changed_at < 7.0
    assert len(cluster.platform.readers) <= 2 * len(ZONES)
    versions_never_fall(cluster)


actions = st.lists(
    st.tuples(
        st.sampled_from(
            ["kill", "start", "pause", "resume", "cut", "heal", "apply", "store", "wait"]
        ),
        st.integers(0, 7),
    ),
    min_size=3,
    max_size=25,
)


def perform(cluster, action, number, version):
    name = f"node-{number}"
    if action == "kill" and cluster.nodes[name].alive and len(cluster.live()) > 2:
        cluster.kill(name)
    elif action == "start" and not cluster.nodes[name].alive:
        cluster.start_node(name, ZONES[number % len(ZONES)])
    elif action == "pause":
        cluster.network.pause(name)
    elif action == "resume":
        cluster.network.resume(name)
    elif action == "cut":
        cluster.network.cut(ZONES[number % 3], ZONES[(number + 1) % 3])
    elif action == "heal":
        cluster.network.heal()
    elif action == "store":
        cluster.platform.down = not cluster.platform.down
    elif action == "apply" and not cluster.platform.down:
        version += 1
        cluster.platform.document = sample_configuration(version, ZONES, version % 5)
    return version


@given(actions, st.integers(0, 1000))
def test_configuration_never_reverts_and_settles(steps, seed):
    cluster = MemberCluster(ZONES, seed=seed, network=NetworkSettings(loss=0.01))
    cluster.add_nodes(8)
    cluster.platform.document = sample_configuration(1, ZONES, 1)
    version = 1
    cluster.events.run_until(4.0)
    for action, number in steps:
        version = perform(cluster, action, number, version)
        cluster.events.run_until(cluster.events.now + 1.5)
    cluster.platform.down = False
    cluster.network.heal()
    for number in range(8):
        cluster.network.resume(f"node-{number}")
    assert cluster.events.run_while(
        lambda: not cluster.everyone_has(version), cluster.events.now + 120.0
    )
    versions_never_fall(cluster)

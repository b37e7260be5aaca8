"""Tests of the soak's instances: replication, faults, and the checks of their journals."""

import asyncio
import time

import pytest
from tornado.tcpclient import TCPClient

from orchidwind_bench.platform.soak import directory as soak_directory
from orchidwind_bench.platform.soak.callers import ReadObservation, Record
from orchidwind_bench.platform.soak.directory import Directory
from orchidwind_bench.platform.soak.instance_state import HOST, InstanceTimes
from orchidwind_bench.platform.soak.instances import InstanceGroup
from orchidwind_bench.platform.soak.promises import GroupHistory, check_group
from orchidwind_bench.platform.soak.promotions import draw_promotions
from orchidwind_standins.platform.object_store import StoreState
from orchidwind_standins.platform.replicated_instance import (
    InstanceSettings,
    ReplicatedInstance,
    ReplicationMessage,
)
from orchidwind_standins.platform.replicated_log import (
    Journal,
    JournalLine,
    LogEntry,
    common_length,
    read_journal_state,
    runs_of,
)

SERVICE = "ledger"


def entries(term, *numbers):
    return [LogEntry(term, (("t0", str(number)),)) for number in numbers]


def instance_of(tmp_path, name="i-0", **settings):
    journal = str(tmp_path / f"{name}.journal")
    given = {"newest_term": 1, **settings}
    return ReplicatedInstance(InstanceSettings(name, SERVICE, 0, 0, journal, **given))


def message(term, log, first=0, part=None):
    sent = log[first:] if part is None else log[first : first + part]
    return ReplicationMessage("i-0", "leader", term, runs_of(log), first, tuple(sent))


# --- one instance ---------------------------------------------------------------------------------


def test_logs_share_their_entries_up_to_the_first_different_term():
    one = entries(1, 1, 2, 3) + entries(2, 4)
    other = entries(1, 1, 2) + entries(3, 5, 6)
    assert common_length(runs_of(one), runs_of(other)) == 2
    assert common_length(runs_of(one), runs_of(one[:3])) == 3
    assert common_length(runs_of(one), runs_of([])) == 0


def test_a_fence_keeps_a_replica_from_receiving_and_is_lost_by_a_restart(tmp_path):
    async def play():
        replica = instance_of(tmp_path)
        log = entries(1, 1, 2)
        replica.pause(2)
        assert replica.receive(message(1, log)).refused
        restarted = instance_of(tmp_path)
        assert restarted.fence == 0
        assert restarted.receive(message(1, log)).holds == 2
        restarted.pause(2)
        assert restarted.receive(message(2, log)).holds == 2, "it follows the promoted instance"
        assert (restarted.term, restarted.fence) == (2, 0)

    asyncio.run(play())


def test_positions_carry_the_term_that_is_set(tmp_path):
    async def play():
        log = entries(1, 1, 2)
        by_entry = instance_of(tmp_path, "i-0")
        by_followed_term = instance_of(tmp_path, "i-1", position_term="followed")
        for instance in (by_entry, by_followed_term):
            instance.receive(message(1, log))
            instance.lead(2)
        assert (by_entry.position, by_followed_term.position) == ("1.2", "2.2")

    asyncio.run(play())


@pytest.mark.parametrize("position_term", ["last_entry", "followed"])
def test_a_log_lacks_positions_that_it_has_not_reached(tmp_path, position_term):
    async def play():
        replica = instance_of(tmp_path, position_term=position_term)
        whole = entries(1, 1, 2, 3) + entries(2, 4)
        replica.receive(message(2, whole, 0, 2))
        assert replica.term == 2
        assert not replica.lacks(1, 2)
        assert replica.lacks(1, 3), "it follows the next term and has not caught up"
        assert replica.lacks(2, 4)
        replica.receive(message(2, whole, 2))
        assert not replica.lacks(2, 4)
        assert not replica.lacks(1, 5), "a position of term 1 that was rolled back"

    asyncio.run(play())


def test_a_replica_ahead_is_rolled_back_and_busy_for_a_moment(tmp_path):
    async def play():
        replica = instance_of(tmp_path, rolled_back_seconds=0.05)
        replica.receive(message(1, entries(1, 1, 2, 3)))
        answer = replica.receive(message(2, entries(1, 1) + entries(2, 9)))
        assert (replica.log, answer.holds) == (entries(1, 1) + entries(2, 9), 2)
        assert replica.things == {"t0": "9"}
        assert replica.busy
        await asyncio.sleep(0.06)
        assert not replica.busy
        assert read_journal_state(tmp_path / "i-0.journal").log == replica.log

    asyncio.run(play())


def test_entries_arrive_in_parts_and_a_gap_is_refused(tmp_path):
    async def play():
        replica = instance_of(tmp_path)
        log = entries(1, 1, 2, 3, 4)
        assert replica.receive(message(1, log, 0, 2)).holds == 2
        assert replica.receive(message(1, log, 3, 1)).holds == 2
        assert replica.receive(message(1, log, 1, 2)).holds == 3
        assert replica.log == log[:3]

    asyncio.run(play())


def test_a_commit_is_acknowledged_once_confirmed_and_not_after_the_demotion(tmp_path):
    async def play():
        primary = instance_of(tmp_path, first_primary=True)
        commit = asyncio.create_task(primary.commit([("t0", "1")]))
        await asyncio.sleep(0.02)
        assert not commit.done()
        primary.confirm("i-1", 1, 1)
        assert await commit
        commit = asyncio.create_task(primary.commit([("t0", "2")]))
        await asyncio.sleep(0)
        primary.demote(2)
        primary.confirm("i-1", 1, 2)
        assert not await commit
        assert len(primary.log) == 2, "the write stays where it was"

    asyncio.run(play())


def test_a_replaced_primary_steps_down_after_a_delay(tmp_path):
    async def play():
        primary = instance_of(tmp_path, first_primary=True, step_down_seconds=0.05)
        assert primary.receive(message(2, [])).refused
        assert primary.role == "primary"
        await asyncio.sleep(0.06)
        assert primary.role == "replica"
        assert primary.receive(message(2, [])).term == 2

    asyncio.run(play())


@pytest.mark.parametrize(
    ("newest_term", "may_lead_on", "role"),
    [(1, True, "primary"), (2, True, "replica"), (1, False, "replica")],
)
def test_a_restarted_primary_stays_primary_unless_another_was_promoted(
    tmp_path, newest_term, may_lead_on, role
):
    async def play():
        instance_of(tmp_path, first_primary=True)
        again = instance_of(tmp_path, newest_term=newest_term, may_lead_on=may_lead_on)
        assert again.role == role

    asyncio.run(play())


# --- processes ------------------------------------------------------------------------------------


async def ask(instance, *texts):
    """Sends queries on a new connection; returns the answer lines, the last READY at the end."""
    stream = await TCPClient().connect(HOST, instance.port)
    lines = []
    try:
        async with asyncio.timeout(4):
            await stream.write(f"STARTUP {SERVICE} tests\r\n".encode())
            await stream.read_until(b"\r\n")
            for text in texts:
                await stream.write(f"QUERY a1 {text}\r\n".encode())
                while not lines or not lines[-1].startswith("READY"):
                    lines.append((await stream.read_until(b"\r\n"))[:-2].decode())
                last = lines.pop()
            return [*lines, last]
    finally:
        stream.close()


async def entry_count(instance):
    """Returns the number of log entries that an instance reports; -1 while it is busy."""
    (row, *_) = await ask(instance, "STATUS")
    if row.startswith("ERROR BUSY"):
        return -1
    return int(row.split(" ")[3].partition(".")[2])


async def until(condition, seconds=5.0):
    async with asyncio.timeout(seconds):
        while not await condition():
            await asyncio.sleep(0.02)


def run_group(tmp_path, play, times=None, count=3):
    async def run():
        group = InstanceGroup(SERVICE, tmp_path, 1, 20, times or InstanceTimes())
        listed = []
        group.on_entry = lambda instance, seconds: listed.append((instance.name, time.monotonic()))
        try:
            await group.start(count)
            instances = [group.instances[f"{SERVICE}-i{number}"] for number in range(count)]
            await play(group, *instances)
        finally:
            group.stop()

    asyncio.run(run())


async def holds_entries(instance, count):
    return await entry_count(instance) == count


def test_a_deaf_and_a_cut_replica_receive_nothing_until_the_fault_ends(tmp_path):
    async def play(group, primary, deaf, cut):
        group.set_deaf(deaf, True)
        group.set_cut(primary, cut, True)
        await asyncio.sleep(0.1)
        write = asyncio.create_task(ask(primary, "WRITE t0 1"))
        await asyncio.sleep(0.3)
        assert not write.done(), "no replica has received it"
        assert [await entry_count(item) for item in (primary, deaf, cut)] == [1, 0, 0]
        group.set_cut(primary, cut, False)
        assert (await write)[0] == "COMPLETE signed-a1"
        assert await entry_count(deaf) == 0
        group.set_deaf(deaf, False)
        await until(lambda: holds_entries(deaf, 1))

    run_group(tmp_path, play)


def test_a_lagging_replica_gets_a_few_entries_at_a_time(tmp_path):
    async def play(group, primary, lagging, quick):
        group.set_deaf(lagging, True)
        for number in range(6):
            await ask(primary, f"WRITE t0 {number}")
        group.set_deaf(lagging, False)
        seen = set()

        async def caught_up():
            seen.add(await entry_count(lagging))
            return 6 in seen

        await until(caught_up)
        lines = read_journal_state(lagging.journal)
        assert len(lines.log) == 6
        assert seen & {2, 4}, "an intermediate length was seen"

    times = InstanceTimes(lag=(0.06, 0.07), part=(2, 2))
    run_group(tmp_path, play, times)


def test_a_promotion_takes_time_and_other_logs_are_rolled_back(tmp_path):
    async def play(group, primary, ahead, chosen):
        group.set_deaf(chosen, True)
        await ask(primary, "WRITE t0 1")
        assert group.promote(chosen.name)
        called_at = time.monotonic()
        assert "primary" not in (await ask(chosen, "STATUS"))[0]
        await until(lambda: leads(chosen, 2))
        assert 0.2 <= time.monotonic() - called_at < 0.8
        group.set_deaf(chosen, False)
        assert (await ask(primary, "STATUS"))[0].split(" ")[1] == "primary"
        await until(lambda: holds_entries(ahead, 0))
        await until(lambda: holds_entries(primary, 0))
        assert (await ask(primary, "STATUS"))[0].split(" ")[1] == "replica"

    run_group(tmp_path, play)


async def leads(instance, term):
    answer = await ask(instance, "STATUS")
    return answer[0].startswith(f"DATAROW primary {term} ")


def test_a_restarted_primary_keeps_its_log_and_its_role_unless_replaced(tmp_path):
    async def play(group, primary, other, third):
        await ask(primary, "WRITE t0 1")
        group.crash(primary)
        assert not group.promote(primary.name), "it does not run"
        group.restart(primary)
        await until(lambda: joined(primary))
        assert await leads(primary, 1)
        assert await entry_count(primary) == 1
        group.crash(primary)
        group.promote(other.name)
        await until(lambda: leads(other, 2))
        group.restart(primary)
        await until(lambda: joined(primary))
        assert not await leads(primary, 1)

    run_group(tmp_path, play)


async def joined(instance):
    return instance.control is not None


def test_a_paused_instance_is_unreachable_and_its_promotion_waits_for_it(tmp_path):
    async def play(group, primary, paused, third):
        group.pause(paused)
        assert group.promote(paused.name)
        with pytest.raises(TimeoutError):
            async with asyncio.timeout(0.6):
                await ask(paused, "STATUS")
        assert group.newest_term == 1
        group.resume(paused)
        await until(lambda: leads(paused, 2))

    run_group(tmp_path, play)


def test_a_release_joins_first_and_passes_the_log_on(tmp_path):
    async def play(group, primary, old, third):
        entered = {}

        def follow(item, seconds):
            entered.setdefault(item.name, seconds)
            item.listed_draining = item.draining

        group.on_entry = follow
        await ask(primary, "WRITE t0 1")
        await until(lambda: holds_entries(old, 1))
        await group.release(old, hand_over_log=True)
        new, successor = group.instances[f"{SERVICE}-i3"], group.instances[f"{SERVICE}-i4"]
        assert 0.005 <= entered[new.name] <= 0.03, "its directory entry follows"
        assert (old.ended, successor.port) == (True, old.port)
        assert read_journal_state(successor.journal).log == read_journal_state(old.journal).log
        assert not successor.may_lead_on, "also where it is killed before it has started"
        assert await holds_entries(new, 1)
        assert await holds_entries(successor, 1)

    times = InstanceTimes(draining=(0.1, 0.2), before_successor=(0.05, 0.1))
    run_group(tmp_path, play, times)


# --- the directory --------------------------------------------------------------------------------


def test_a_draining_instance_serves_on_until_the_store_has_taken_that(tmp_path):
    store = StoreState()
    directory = Directory(store)

    async def play(group, first, second):
        group.on_entry = lambda instance, seconds: directory.follow(SERVICE, instance, seconds)
        store.silent = True
        leaving = asyncio.create_task(group.leave(second))
        await asyncio.sleep(0.4)
        assert second.alive
        store.silent = False
        await leaving
        assert second.ended
        await asyncio.sleep(0.1)
        assert ("servers", second.name) not in store.objects

    run_group(tmp_path, play, InstanceTimes(draining=(0.1, 0.1)), count=2)


def test_entries_wait_for_the_store_and_go_when_nothing_is_written(tmp_path, monkeypatch):
    monkeypatch.setattr(soak_directory, "ENTRY_OUTLIVES_SECONDS", 0.3)
    store = StoreState()
    directory = Directory(store)

    def listed(instance):
        return ("servers", instance.name) in store.objects

    async def play(group, first, second):
        group.on_entry = lambda instance, seconds: directory.follow(SERVICE, instance, seconds)
        store.refuse_with = 503
        group.on_entry(first, 0.0)
        await asyncio.sleep(0.1)
        assert not listed(first)
        store.refuse_with = 0
        await asyncio.sleep(0.1)
        assert listed(first)
        group.set_cut_from_store(first, True)
        await asyncio.sleep(0.1)
        assert listed(first)
        await asyncio.sleep(0.4)
        assert not listed(first)
        group.set_cut_from_store(first, False)
        await asyncio.sleep(0.1)
        assert listed(first)

    run_group(tmp_path, play, count=2)


# --- checks ---------------------------------------------------------------------------------------


def journals(**lines):
    """Returns the journals of instances that started at time 0."""
    return {
        name.replace("_", "-"): [
            JournalLine(0.0, note=f"started as {name.replace('_', '-')}"),
            *own_lines,
        ]
        for name, own_lines in lines.items()
    }


def acknowledged(record, number, at, proxy="proxy-0"):
    record.acknowledged.setdefault("t0", []).append((at, number))
    record.acknowledged_by[("t0", number)] = (at, proxy)


def promotion_without_commit(acknowledged_at):
    """Returns a history in which i-1 is primary from 5.0 s on and lacks the second commit of i-0.

    i-2 has that commit.
    """
    one, two = entries(1, 1, 2)
    record = Record()
    acknowledged(record, 1, 1.0)
    acknowledged(record, 2, acknowledged_at)
    return record, GroupHistory.of(
        journals(
            i_0=[
                JournalLine(0.1, term=1, role="primary"),
                JournalLine(0.5, entries=(one,)),
                JournalLine(0.6, acknowledged=1),
                JournalLine(2.0, entries=(two,)),
                JournalLine(2.1, acknowledged=2),
            ],
            i_1=[
                JournalLine(0.5, entries=(one,)),
                JournalLine(5.0, term=2, role="primary", led=True),
            ],
            i_2=[JournalLine(0.5, entries=(one, two)), JournalLine(6.0, keep=1)],
        )
    )


def test_a_commit_missing_at_a_promotion_is_reported_with_its_holders():
    record, history = promotion_without_commit(acknowledged_at=2.2)
    losing = check_group(record, history)
    assert [lead.instance for lead in losing] == ["i-1"]
    (broken,) = record.broken
    assert broken.startswith("LOST: t0 2 is not in the log of i-1, which leads 2 since 5.000")
    assert "acknowledged by i-0 in 1 at 2.100, told by proxy-0 at 2.200" in broken
    assert broken.endswith("held then by i-0,i-2")


def test_a_commit_acknowledged_after_the_promotion_is_reported_at_the_end():
    record, history = promotion_without_commit(acknowledged_at=5.5)
    assert check_group(record, history) == []
    (broken,) = record.broken
    assert broken.startswith("LOST: t0 2 is not in the last log")


@pytest.mark.parametrize(("excused", "count"), [(False, 1), (True, 0)])
def test_a_replaced_primary_that_acknowledges_is_reported(excused, count):
    (one,) = entries(1, 1)
    record = Record()
    acknowledged(record, 1, 6.1)
    if excused:
        record.excused.add(("t0", 1))
    history = GroupHistory.of(
        journals(
            i_0=[
                JournalLine(0.1, term=1, role="primary"),
                JournalLine(6.0, entries=(one,)),
                JournalLine(6.05, acknowledged=1),
            ],
            i_1=[JournalLine(5.0, term=2, role="primary", led=True)],
        )
    )
    check_group(record, history)
    assert len([item for item in record.broken if item.startswith("ONE")]) == count


def test_an_old_read_is_stale_unless_what_it_lacks_was_lost():
    record, history = promotion_without_commit(acknowledged_at=2.2)
    record.old_reads = [ReadObservation("a", "latest", "t0", 1, before=9.0, own=0)]
    check_group(record, history)
    assert not any(item.startswith("STALE") for item in record.broken)
    record.old_reads = [ReadObservation("a", "latest", "t0", 0, before=9.0, own=0)]
    record.check_reads({("t0", 2)}, {})
    assert record.broken[-1] == "STALE: a on latest shows 0 of t0, not 1"


@pytest.mark.parametrize(
    ("logged", "own", "stale"),
    [
        ([2, 1], 0, False),
        ([1, 2], 0, True),
        ([2], 0, True),
        ([3, 2, 1], 3, False),
        ([2, 1, 3], 3, True),
    ],
)
def test_a_read_that_shows_a_write_of_unknown_outcome_covers_the_writes_before_it(
    logged, own, stale
):
    """Guards against false alarms: a write of unknown outcome may take effect after later ones."""
    record = Record()
    acknowledged(record, 2, 1.0)
    record.old_reads = [ReadObservation("a", "latest", "t0", 1, before=9.0, own=own)]
    record.check_reads(set(), {("t0", number): index for index, number in enumerate(logged)})
    assert bool(record.broken) == stale


def test_a_journal_passed_on_credits_its_new_instance_only_with_its_own_lines(tmp_path):
    path = tmp_path / "i-0.journal"
    journal = Journal(path)
    journal.write(term=1, role="primary", note="started as i-0")
    journal.write(entries=entries(1, 1))
    journal.write(acknowledged=1)
    before = time.monotonic()
    successor = tmp_path / "i-1.journal"
    successor.write_bytes(path.read_bytes())
    Journal(successor).write(role="replica", note="started as i-1")
    history = GroupHistory.read([path, successor])
    assert history.answers[("t0", 1)].instance == "i-0"
    assert history.holders(("t0", 1), before) == ["i-0"]
    assert history.holders(("t0", 1), time.monotonic()) == ["i-0", "i-1"]


def test_schedules_of_promotions_follow_from_their_seed():
    assert draw_promotions(5, 20.0) == draw_promotions(5, 20.0)
    assert draw_promotions(5, 20.0) != draw_promotions(6, 20.0)

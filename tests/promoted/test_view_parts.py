"""Unit tests of the parts that keep views fresh: times, ages, readers, hedged calls, watch."""

import asyncio

import pytest
from hypothesis import given
from hypothesis import strategies as st

from orchidwind.promoted.core.freshness import MOST_CALLS, FollowTimes, ViewAge
from orchidwind.promoted.core.homes import ProxyMember, zone_readers
from orchidwind.promoted.core.store_revision import StoreRevision
from orchidwind.promoted.ports import Changes, Listing
from orchidwind.promoted.views.collection_watch import CollectionWatch
from orchidwind.promoted.views.hedged_call import Arrival, hedged
from orchidwind.promoted.views.peer_source import ReportedView
from orchidwind.shared.core.errors import PlatformError
from orchidwind_bench.promoted.simulation.virtual_time import run_virtual


def test_worst_case_times_leave_a_margin_of_the_bound():
    times = FollowTimes.within(10.0)
    assert times.watch_wait + times.answer_slack < times.read_at_age
    assert times.read_at_age + times.hedge_after <= 8.0
    assert times.watch_wait + times.answer_slack + times.longest_pause + times.hedge_after <= 8.0


@given(st.lists(st.floats(0, 100), max_size=8), st.floats(0, 200))
def test_the_age_counts_from_the_latest_confirmation(times, now):
    age = ViewAge(FollowTimes.within(3.0), 0.0)
    for at in times:
        age.confirmed(at)
    newest = max([0.0, *times])
    assert age.age(now) == max(now - newest, 0.0)
    assert age.too_old(now) == (now - newest > 3.0)
    assert age.read_due_in(now) == pytest.approx(max(newest + 1.8 - now, 0.0))


def test_each_zone_has_one_reader_that_all_proxies_agree_on():
    members = [ProxyMember(f"p{n}", f"z{n % 3}", "h", 1) for n in range(30)]
    found = zone_readers("x", members)
    assert set(found) == {"z0", "z1", "z2"}
    assert found == zone_readers("x", reversed(members))
    assert all(member.zone == zone for zone, member in found.items())


class Calls:
    """Calls to a store, each of which answers, fails or stays silent."""

    def __init__(self, *kinds):
        self.kinds = list(kinds)
        self.started_at = []

    async def __call__(self):
        loop = asyncio.get_running_loop()
        self.started_at.append(loop.time())
        kind = self.kinds[min(len(self.started_at), len(self.kinds)) - 1]
        if kind == "silent":
            await loop.create_future()
        if kind == "refuses":
            await asyncio.sleep(0.01)
            raise PlatformError("503")
        await asyncio.sleep(kind)
        return kind


@pytest.mark.parametrize(
    ("kinds", "answered_at"),
    [
        ((0.1,), 0.1),
        (("silent", 0.1), 1.1),
        ((3.5, "silent"), 3.5),
        (("silent", "refuses", 0.1), 2.1),
    ],
)
def test_lost_call_costs_one_hedge_interval_and_slow_call_is_awaited(kinds, answered_at):
    async def work():
        assert await hedged(Calls(*kinds), 1.0, Arrival()) in kinds
        assert asyncio.get_running_loop().time() == pytest.approx(answered_at)

    run_virtual(work())


@pytest.mark.parametrize(("kind", "seconds"), [("silent", MOST_CALLS), ("refuses", 0.01)])
def test_error_is_raised_when_all_calls_fail(kind, seconds):
    async def work():
        calls = Calls(kind)
        with pytest.raises(PlatformError):
            await hedged(calls, 1.0, Arrival())
        assert asyncio.get_running_loop().time() == pytest.approx(seconds)
        assert len(calls.started_at) == (MOST_CALLS if kind == "silent" else 1)

    run_virtual(work())


def test_call_whose_answer_is_arriving_is_not_repeated():
    async def work():
        arrival, started_at = Arrival(), []

        async def call():
            started_at.append(1)
            for _ in range(8):
                await asyncio.sleep(0.5)
                arrival.note()
            return "whole"

        assert await hedged(call, 1.0, arrival) == "whole"
        assert len(started_at) == 1

    run_virtual(work())


class Source:
    """A store whose watches return answers from a queue."""

    def __init__(self):
        self.listing = Listing(("a",), StoreRevision(5))
        self.answers = asyncio.Queue()

    async def list(self, limit, on_arrival):
        return self.listing

    async def watch(self, revision, wait, limit, on_arrival):
        return await self.answers.get()


class Follower:
    def __init__(self):
        self.held = ()

    def listed(self, listing):
        self.held = listing.items
        return True

    def changed(self, changes):
        self.held = changes.changed


class StubPeer:
    """A peer that reports the view that the test sets."""

    def __init__(self):
        self.view = None

    def is_reader(self):
        return False

    async def ask(self, revision, whole):
        return self.view


def reported(as_of, items, number):
    revision = StoreRevision(number)
    return ReportedView("peer", as_of, revision, Listing(items, revision))


def test_outdated_answer_does_not_change_the_view():
    async def work():
        source, follower, peer = Source(), Follower(), StubPeer()
        watch = CollectionWatch("x", source, follower, FollowTimes.within(3.0), 0.0, peer)
        task = asyncio.create_task(watch.run())
        await asyncio.sleep(0.1)
        peer.view = reported(0.0, ("newer",), 9)
        await asyncio.sleep(1.0)
        assert (follower.held, watch.revision) == (("newer",), 9)
        peer.view = reported(0.0, ("older",), 8)
        source.answers.put_nowait(Changes(("old",), (), StoreRevision(7)))
        await asyncio.sleep(0.5)
        assert (follower.held, watch.revision) == (("newer",), 9)
        task.cancel()

    run_virtual(work())


def test_first_view_that_is_too_old_is_not_taken_from_a_peer():
    class Silent(Source):
        async def list(self, limit, on_arrival):
            await asyncio.get_running_loop().create_future()

    async def work():
        follower, peer = Follower(), StubPeer()
        watch = CollectionWatch("x", Silent(), follower, FollowTimes.within(3.0), 0.0, peer)
        task = asyncio.create_task(watch.run())
        peer.view = reported(-10.0, ("old",), 9)
        await asyncio.sleep(2.0)
        assert follower.held == ()
        peer.view = reported(1.0, ("recent",), 9)
        await asyncio.sleep(1.0)
        assert follower.held == ("recent",)
        task.cancel()

    run_virtual(work())


def test_error_of_the_follower_does_not_end_the_watch():
    class FailingFollower(Follower):
        def __init__(self):
            super().__init__()
            self.failures = 2

        def listed(self, listing):
            if self.failures:
                self.failures -= 1
                raise ValueError("fault")
            return super().listed(listing)

    async def work():
        follower = FailingFollower()
        watch = CollectionWatch("x", Source(), follower, FollowTimes.within(3.0), 0.0, StubPeer())
        task = asyncio.create_task(watch.run())
        await asyncio.sleep(1.0)
        assert follower.held == ("a",)
        task.cancel()

    run_virtual(work())


def test_change_that_the_follower_rejects_does_not_advance_the_revision():
    """A proxy whose follower failed must not report to others that it holds the change."""

    class FailingFollower(Follower):
        def changed(self, changes):
            raise ValueError("fault")

    class Unreadable(Source):
        async def list(self, limit, on_arrival):
            if self.read:
                await asyncio.get_running_loop().create_future()
            self.read = True
            return self.listing

    async def work():
        source = Unreadable()
        source.read = False
        watch = CollectionWatch(
            "x", source, FailingFollower(), FollowTimes.within(3.0), 0.0, StubPeer()
        )
        task = asyncio.create_task(watch.run())
        await asyncio.sleep(0.1)
        source.answers.put_nowait(Changes(("b",), (), StoreRevision(6)))
        await asyncio.sleep(0.4)
        assert (watch.revision, watch.changed_revision) == (5, 5)
        task.cancel()

    run_virtual(work())


def test_reader_that_receives_changes_does_not_list_the_store_again():
    """An answer with changes confirms the view only as of the time when its watch was sent."""
    times = FollowTimes.within(10.0)

    class Busy(Source):
        def __init__(self):
            super().__init__()
            self.lists = 0

        async def list(self, limit, on_arrival):
            self.lists += 1
            return self.listing

        async def watch(self, revision, wait, limit, on_arrival):
            await asyncio.sleep(wait * 0.99)
            return Changes(("b",), (), StoreRevision(revision + 1))

    async def work():
        source = Busy()
        watch = CollectionWatch("x", source, Follower(), times)
        task = asyncio.create_task(watch.run())
        await asyncio.sleep(60.0)
        assert source.lists == 1
        assert watch.age < times.read_at_age
        task.cancel()

    run_virtual(work())

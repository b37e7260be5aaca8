"""Calls whose responses never arrive: each kind of call ends within its bound."""

import asyncio
import contextlib

import pytest

from orchidwind.platform.coordination import (
    LeaseObjects,
    MemberObjects,
    MemberTranslation,
    PromotionLockObject,
    RosterObjects,
)
from orchidwind.platform.promotions import PromotionCall
from orchidwind.platform.store import ObjectStore, WatchedKind
from orchidwind.promoted.core.call_limits import STORE_CALL_SECONDS
from orchidwind.promoted.core.failover_steps import PromotionAnswer
from orchidwind.promoted.core.freshness import MOST_CALLS, FollowTimes
from orchidwind.promoted.core.homes import ProxyMember
from orchidwind.promoted.core.promotion_lock import LockRecord
from orchidwind.promoted.core.roster import Roster
from orchidwind.promoted.core.store_revision import StoreRevision
from orchidwind.promoted.ports import LeaseConfirmation
from orchidwind.promoted.views.followed_views import ProxyBounds
from orchidwind.promoted.views.hedged_call import Arrival, hedged
from orchidwind.shared.core.errors import PlatformError
from orchidwind_standins.platform import object_store

HOST = "127.0.0.1"
# Of the views whose bound limits their calls, the one with the shortest bound.
TIMES = FollowTimes.within(ProxyBounds().configuration)
PROMOTION_SECONDS = 0.8
WATCH_SECONDS = 0.3
SILENT_SECONDS = 0.1
# Allowance for a busy machine; not part of any bound.
SLACK_SECONDS = 0.5


class Calls:
    """Every kind of call that a proxy makes to the store and to the promotion service."""

    def __init__(self, store, port):
        self.members = WatchedKind(store, MemberTranslation())
        self.registry = MemberObjects(store)
        self.rosters = RosterObjects(store)
        self.leases = LeaseObjects(store)
        self.lock = PromotionLockObject(store)
        self.promotions = PromotionCall((HOST, port), "proxy-a")
        self.lease_revision = StoreRevision(1)

    async def read(self):
        arrival = Arrival()
        limit = TIMES.hedge_after * MOST_CALLS
        await hedged(lambda: self.members.list(limit, arrival.note), TIMES.hedge_after, arrival)

    async def watch(self):
        limit = WATCH_SECONDS + TIMES.answer_slack
        await self.members.watch(StoreRevision(1), WATCH_SECONDS, limit, lambda: None)

    async def write(self):
        await self.registry.write(ProxyMember("proxy-a", "z", HOST, 1))

    async def remove(self):
        await self.registry.remove("proxy-a")

    async def write_roster(self):
        await self.rosters.write(Roster("ledger", ("i-1",), StoreRevision(0)), create=True)

    async def register_lease(self):
        self.lease_revision = await self.leases.confirm(
            LeaseConfirmation("proxy-a", StoreRevision(0))
        )

    async def read_confirmations(self):
        await self.leases.confirmations()

    async def remove_lease(self):
        left = LeaseConfirmation("proxy-a", StoreRevision(0), left=True)
        await self.leases.leave(left, self.lease_revision)

    async def read_lock(self):
        await self.lock.read()

    async def take_lock(self):
        await self.lock.write(
            LockRecord("proxy-a", "attempt-1", False, StoreRevision(0)), create=True
        )

    async def promote(self):
        answer = await self.promotions.promote("ledger", "i-1", 1, PROMOTION_SECONDS)
        if answer is not PromotionAnswer.ACCEPTED:
            raise PlatformError(f"the promotion is {answer.value}")


# Where the store serves calls again, a read is repeated by this time and succeeds.
SERVED_SECONDS = {"read": TIMES.hedge_after}
BOUNDS = {
    "read": TIMES.hedge_after * MOST_CALLS,
    "watch": WATCH_SECONDS + TIMES.answer_slack,
    "write": STORE_CALL_SECONDS,
    "remove": STORE_CALL_SECONDS,
    "write_roster": STORE_CALL_SECONDS,
    "register_lease": STORE_CALL_SECONDS,
    "read_confirmations": STORE_CALL_SECONDS,
    "remove_lease": STORE_CALL_SECONDS,
    "read_lock": STORE_CALL_SECONDS,
    "take_lock": STORE_CALL_SECONDS,
    "promote": PROMOTION_SECONDS,
}


@contextlib.contextmanager
def stand_in():
    state = object_store.StoreState()
    server = object_store.listen(state, HOST, 0)
    port = next(iter(server._sockets.values())).getsockname()[1]
    try:
        yield state, Calls(ObjectStore((HOST, port), lambda method, kind: None), port)
    finally:
        server.stop()


async def within_bound(calls, kind, seconds):
    """Return whether the call was answered; raises TimeoutError if it exceeds its bound."""
    async with asyncio.timeout(seconds + SLACK_SECONDS):
        try:
            await getattr(calls, kind)()
        except PlatformError:
            return False
    return True


@pytest.mark.parametrize("calls_refused", [False, True])
def test_unanswered_calls_end_within_their_bound(calls_refused):
    async def work():
        with stand_in() as (state, calls):
            state.stop_answering()
            bounds = BOUNDS if calls_refused else BOUNDS | SERVED_SECONDS
            under_way = {
                kind: asyncio.create_task(within_bound(calls, kind, bounds[kind]))
                for kind in BOUNDS
            }
            await asyncio.sleep(SILENT_SECONDS)
            state.resume_answering()
            state.refuse_with = 503 if calls_refused else 0
            answered = dict(zip(under_way, await asyncio.gather(*under_way.values()), strict=True))
            # Only reads are repeated while the first call is open; the others end unanswered.
            assert [kind for kind, was_answered in answered.items() if was_answered] == (
                [] if calls_refused else ["read"]
            )

    asyncio.run(work())


def test_the_next_call_of_each_kind_is_served_on_a_new_connection():
    async def work():
        with stand_in() as (state, calls):
            state.stop_answering()
            under_way = [asyncio.create_task(getattr(calls, kind)()) for kind in BOUNDS]
            await asyncio.sleep(SILENT_SECONDS)
            state.resume_answering()
            # Reset to the objects that the calls need: unanswered calls may have been executed.
            state.objects.clear()
            state.put("proxies", "proxy-a", {})
            for kind in BOUNDS:
                assert await within_bound(calls, kind, WATCH_SECONDS), kind
            for task in under_way:
                task.cancel()
            await asyncio.gather(*under_way, return_exceptions=True)

    asyncio.run(work())

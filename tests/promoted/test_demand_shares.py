"""The parts of an instance's requests that home proxies have, by demand, whatever is lost."""

import random

import pytest
from hypothesis import given
from hypothesis import strategies as st

from orchidwind.promoted.core.demand_shares import LEAST_PART, LOAN_SECONDS, DemandShares
from orchidwind.promoted.group.instance_pools import InstancePools
from orchidwind.shared.core.admission import TrafficClass
from orchidwind.shared.core.concurrency_window import ConcurrencyWindow, fair_share
from orchidwind.shared.core.pool import Grant

SLOTS = 6
CLASS = TrafficClass("any")
HOMES = tuple(f"proxy-{number}" for number in range(6))
STEP_SECONDS = 0.02
# A window may grow beyond its part by this factor, so it may exceed the parts by as much.
EXCESS = 2.0
ROUNDING = 1e-9


def demanding(base, demand):
    """Return the shares of a home whose demand has been this high for long."""
    shares = DemandShares(base)
    shares.sample(demand, 0.0)
    shares.sample(demand, 100.0)
    return shares


def test_a_home_without_demand_lends_all_but_its_least_part():
    lender, borrower = demanding(2.0, 0), demanding(2.0, 8)
    assert not lender.needs_loans()
    assert borrower.needs_loans()
    borrower.borrow("lender", lender.lend("borrower", 8.0, 100.0), 100.0)
    assert lender.part(100.0) == pytest.approx(2.0 * LEAST_PART)
    assert borrower.part(100.0) == pytest.approx(4.0 - 2.0 * LEAST_PART)


def test_a_home_keeps_one_and_a_half_times_its_own_demand():
    lender = demanding(2.0, 1)
    assert lender.lend("borrower", 60.0, 100.0) == pytest.approx(0.5)
    assert lender.part(100.0) == pytest.approx(1.5)
    assert demanding(2.0, 2).lend("borrower", 60.0, 100.0) == 0.0


def test_while_there_is_room_for_all_parts_are_in_proportion_to_demands():
    lender = demanding(2.0, 1)
    lender.sample(0, 100.0)
    assert lender.lend("borrower", 1.5, 100.0) == pytest.approx(2.0 - 4.0 * 1.0 / 2.5)


def test_equal_demands_lend_nothing():
    assert demanding(2.0, 9).lend("borrower", 9.0, 100.0) == 0.0


def test_two_borrowers_share_what_is_spare_by_what_they_lack():
    lender = demanding(2.0, 0)
    lender.lend("a", 8.0, 100.0)
    for number in range(6):
        now = 100.0 + number * LOAN_SECONDS / 3
        amounts = [lender.lend(name, 8.0, now) for name in ("a", "b")]
    assert amounts[0] == pytest.approx(amounts[1])
    assert sum(amounts) == pytest.approx(2.0 * (1 - LEAST_PART))


def test_without_news_each_home_has_its_base_part_again():
    lender, borrower = demanding(2.0, 0), demanding(2.0, 8)
    borrower.borrow("lender", lender.lend("borrower", 8.0, 100.0), 100.0)
    later = 100.0 + LOAN_SECONDS
    assert (lender.part(later), borrower.part(later)) == (2.0, 2.0)


def test_a_smaller_loan_does_not_free_the_larger_one_before_its_end():
    """The answer with the smaller loan may be lost."""
    lender = demanding(2.0, 0)
    first = lender.lend("borrower", 8.0, 100.0)
    lender.sample(50, 100.0)
    lender.sample(50, 100.2)
    second = lender.lend("borrower", 8.0, 100.2)
    assert second < first
    assert lender.lent(100.3) == first


def test_an_answer_to_an_earlier_question_is_ignored():
    borrower = demanding(2.0, 8)
    borrower.borrow("lender", 0.5, 101.0)
    borrower.borrow("lender", 1.5, 100.9)
    assert borrower.borrowed(101.1) == 0.5


def test_a_proxy_that_was_stopped_grants_nothing_on_a_loan_that_ended():
    """Requests and answers that came meanwhile are handled before its first sample of demands."""
    pools = InstancePools(lambda name: 2.0, lambda name: True, lambda name: False)
    pool = pools.of("i")
    window, pool.window = pool.window, None
    pool.set_share(20, 99.0)
    for ticket in range(20):
        pool.acquire(ticket, CLASS, 99.0, 200.0)
        pool.opened(max(pool.opening), 99.0)
    for connection in list(pool.busy):
        pool.release(connection, 99.0, reusable=True)
    pool.window = window
    pools.demand_shares("i").borrow("lender", 8.0, 100.0)
    pools.update_window("i", 100.0)
    for _ in range(200):
        pool.window.answered(pool.window.size, queueing=False, now=100.0)
    assert pool.window.size == 20
    thawed = 100.0 + LOAN_SECONDS + 3.0
    effects = [e for ticket in range(20) for e in pool.acquire(100 + ticket, CLASS, thawed, 200.0)]
    assert sum(isinstance(effect, Grant) for effect in effects) <= EXCESS * 2.0


# --- Any loss, delay and order of messages --------------------------------------------------------


class Fleet:
    """Home proxies that come and go and exchange loans over a network without any promise."""

    def __init__(self, seed):
        self.random = random.Random(seed)
        self.now = 0.0
        # The clocks of the proxies have nothing to do with one another.
        self.offset = {name: self.random.uniform(0, 1e6) for name in HOMES}
        self.shares = {}
        self.windows = {}
        # (time of delivery, action)
        self.on_the_way = []
        # The base parts that are, or were, in force: (end, part).
        self.bases = {}
        self.ended = []

    def clock(self, name):
        return self.now + self.offset[name]

    def start(self, name, homes):
        base = fair_share(SLOTS, homes)
        self.shares[name] = DemandShares(base)
        self.windows[name] = ConcurrencyWindow(base)

    def end(self, name):
        self.ended.append((self.now + LOAN_SECONDS, self.shares.pop(name).base))
        del self.windows[name]

    def set_homes(self, name, homes):
        self.ended.append((self.now + LOAN_SECONDS, self.shares[name].base))
        self.shares[name].base = fair_share(SLOTS, homes)

    def deliver(self, action):
        """The network loses, delays and repeats as it likes."""
        for _ in range(self.random.choice((0, 1, 1, 1, 2))):
            self.on_the_way.append((self.now + self.random.choice((0.0, 0.04, 0.3, 2.0)), action))

    def ask(self, borrower, lender):
        life, asked_at = self.shares[borrower], self.clock(borrower)
        demand = life.demand

        def lend():
            if lender in self.shares:
                amount = self.shares[lender].lend(borrower, demand, self.clock(lender))
                self.deliver(lambda: life.borrow(lender, amount, asked_at))

        self.deliver(lend)

    def step(self):
        self.now += STEP_SECONDS
        due = [item for item in self.on_the_way if item[0] <= self.now]
        self.on_the_way = [item for item in self.on_the_way if item[0] > self.now]
        self.random.shuffle(due)
        for _, action in due:
            action()
        for name, shares in self.shares.items():
            now = self.clock(name)
            window = self.windows[name]
            window.set_fair_share(shares.part(now), reduced=shares.lent(now) > 0)
            for _ in range(20):
                window.answered(window.size, queueing=False, now=now)

    def base_parts(self):
        """The base parts in force, and those that were within the validity of a loan."""
        self.ended = [item for item in self.ended if item[0] > self.now]
        return sum(s.base for s in self.shares.values()) + sum(part for _, part in self.ended)


COMING_AND_GOING = st.lists(
    st.tuples(st.sampled_from(HOMES), st.sampled_from(("join", "leave", "restart", "count"))),
    max_size=8,
)


@given(st.integers(0, 10**6), COMING_AND_GOING)
def test_parts_never_exceed_the_base_parts(seed, changes):
    """Nor do the windows exceed what instances run by more than the stated excess.

    With the same homes at all times, the base parts are the requests that the instance can have.
    """
    fleet = Fleet(seed)
    for name in HOMES:
        fleet.start(name, len(HOMES))
    demands = dict.fromkeys(HOMES, 0)
    planned = list(changes)
    for number in range(150):
        if number % 15 == 14:
            demands = {name: fleet.random.choice((0, 0, 2, 12)) for name in HOMES}
        if planned and number % 17 == 16:
            change(fleet, *planned.pop())
        for name in list(fleet.shares):
            fleet.shares[name].sample(demands[name], fleet.clock(name))
            lender = fleet.random.choice(HOMES)
            if lender != name and fleet.random.random() < 0.3:
                fleet.ask(name, lender)
        fleet.step()
        bound = fleet.base_parts()
        if not changes:
            assert bound == pytest.approx(fair_share(SLOTS, 1))
        parts = {name: s.part(fleet.clock(name)) for name, s in fleet.shares.items()}
        assert sum(parts.values()) <= bound + ROUNDING
        assert sum(w.size for w in fleet.windows.values()) <= EXCESS * bound + len(HOMES)
        assert all(window.size >= 1 for window in fleet.windows.values())
        for name, part in parts.items():
            assert changes or part >= fleet.shares[name].base * LEAST_PART - ROUNDING


def change(fleet, name, kind):
    """One home joins, leaves, restarts without its memory, or hears of another number of homes."""
    running = name in fleet.shares
    if running and kind in ("leave", "restart"):
        fleet.end(name)
    if kind == "restart" or (kind == "join" and not running):
        fleet.start(name, fleet.random.randint(1, len(HOMES)))
    if running and kind == "count":
        fleet.set_homes(name, fleet.random.randint(1, len(HOMES)))


@given(st.integers(0, 10**6))
def test_spare_room_goes_to_the_home_with_demand_and_comes_back(seed):
    """Within the validity of a loan and one more question, if messages arrive."""
    fleet = Fleet(seed)
    fleet.deliver = lambda action: fleet.on_the_way.append((fleet.now, action))
    for name in HOMES:
        fleet.start(name, len(HOMES))
    for busy in HOMES[:2]:
        for number in range(int((2 * LOAN_SECONDS + 0.5) / STEP_SECONDS)):
            for name in HOMES:
                fleet.shares[name].sample(12 if name == busy else 0, fleet.clock(name))
                if fleet.shares[name].needs_loans() and number % 5 == 0:
                    for lender in HOMES:
                        if lender != name:
                            fleet.ask(name, lender)
            fleet.step()
        parts = {name: fleet.shares[name].part(fleet.clock(name)) for name in HOMES}
        least = fair_share(SLOTS, len(HOMES)) * LEAST_PART
        assert parts.pop(busy) >= fair_share(SLOTS, 1) - 5 * least - 0.01
        assert min(parts.values()) >= least - ROUNDING


def test_a_home_at_rest_is_left_alone_until_it_has_demand_or_a_loan():
    """After a long rest the average starts from none: the rest is no part of its time."""
    shares = DemandShares(2.0)
    assert not shares.sample(0, 0.0)
    assert not shares.sample(0, 1000.0)
    assert shares.sample(6, 1000.01)
    assert shares.demand < 1.0
    lender = demanding(2.0, 0)
    assert not lender.sample(0, 101.0)
    lender.lend("borrower", 8.0, 101.0)
    assert lender.sample(0, 101.1)
    ended = 101.2 + LOAN_SECONDS
    assert lender.sample(0, ended)
    assert lender.part(ended) == 2.0
    assert not lender.sample(0, ended + 0.1)

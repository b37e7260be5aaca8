"""Slot leases: the homes together never hold more connections than the database has slots."""

from hypothesis import given
from hypothesis import strategies as st

from orchidwind.elected.core import slot_leases
from orchidwind.elected.core.slot_leases import SLOT_LEASE_SECONDS, LeaseAnswer, SlotLeases

HOMES = ["a", "b", "c"]
BASE = 3


class Clocked:
    """Homes whose clocks run at different speeds; the network loses, delays and repeats answers."""

    def __init__(self, speeds):
        self.leases = {name: SlotLeases(BASE) for name in HOMES}
        self.speeds = dict(zip(HOMES, speeds, strict=True))
        self.time = 0.0
        self.sent_answers = []

    def now(self, name):
        return self.time * self.speeds[name]

    def ask(self, borrower, lender, lost, busy=0):
        for ask in self.leases[borrower].lease_requests(self.now(borrower), [lender], 2):
            spare = self.leases[lender].share(self.now(lender)) - busy
            answer = self.leases[lender].on_lease_request(
                self.now(lender), borrower, ask.wanted, spare
            )
            self.sent_answers.append((borrower, lender, answer))
            if not lost:
                self.leases[borrower].on_answer(self.now(borrower), lender, answer)

    def repeat(self, number):
        if self.sent_answers:
            borrower, lender, answer = self.sent_answers[number % len(self.sent_answers)]
            self.leases[borrower].on_answer(self.now(borrower), lender, answer)

    def total(self):
        return sum(leases.share(self.now(name)) for name, leases in self.leases.items())


steps = st.lists(
    st.tuples(
        st.sampled_from(["ask", "lose", "repeat", "wait", "pause"]),
        st.integers(0, 5),
        st.floats(0.0, 4.0),
    ),
    max_size=40,
)


@given(steps, st.tuples(*[st.floats(0.95, 1.05)] * 3))
def test_never_more_connections_than_there_are(schedule, speeds):
    world = Clocked(speeds)
    pairs = [(x, y) for x in HOMES for y in HOMES if x != y]
    for kind, number, seconds in schedule:
        if kind in ("ask", "lose"):
            world.ask(*pairs[number], lost=kind == "lose", busy=int(seconds))
        elif kind == "repeat":
            world.repeat(number)
        else:
            world.time += seconds
        assert world.total() <= BASE * len(HOMES)


def test_lease_moves_connections_until_it_expires():
    lender, borrower = SlotLeases(4), SlotLeases(1)
    (ask,) = borrower.lease_requests(0.0, ["x"], 4)
    answer = lender.on_lease_request(0.1, "y", ask.wanted, spare=4)
    assert answer.slots == 3
    borrower.on_answer(0.2, "x", answer)
    assert (lender.share(0.2), borrower.share(0.2)) == (1, 4)
    assert borrower.share(SLOT_LEASE_SECONDS + 0.01) == 1
    assert lender.share(SLOT_LEASE_SECONDS + 0.2) == 1
    assert lender.share(0.1 + SLOT_LEASE_SECONDS * 1.2) == 4


def test_paused_borrower_finds_its_lease_expired():
    borrower = SlotLeases(1)
    borrower.lease_requests(0.0, ["x"], 2)
    borrower.on_answer(60.0, "x", LeaseAnswer(2, 1, SLOT_LEASE_SECONDS))
    assert borrower.share(60.0) == 1


def test_answer_with_a_lower_number_is_dropped():
    borrower = SlotLeases(1)
    borrower.lease_requests(0.0, ["x"], 2)
    borrower.on_answer(0.1, "x", LeaseAnswer(0, 5, SLOT_LEASE_SECONDS))
    borrower.on_answer(0.2, "x", LeaseAnswer(2, 4, SLOT_LEASE_SECONDS))
    assert borrower.share(0.3) == 1


def test_home_with_borrowed_connections_lends_none():
    middle = SlotLeases(2)
    middle.lease_requests(0.0, ["x"], 2)
    middle.on_answer(0.0, "x", LeaseAnswer(2, 1, SLOT_LEASE_SECONDS))
    assert middle.on_lease_request(0.1, "z", 4, spare=4).slots == 0


def test_without_the_margin_a_slow_clock_would_exceed_the_slots(monkeypatch):
    def total_when_the_lender_reclaims():
        world = Clocked((1.05, 0.95, 1.0))
        world.ask("b", "a", lost=False)
        world.time = SLOT_LEASE_SECONDS / 1.05 + 0.001
        return world.total()

    assert total_when_the_lender_reclaims() <= BASE * len(HOMES)
    monkeypatch.setattr(slot_leases, "_CLOCK_MARGIN", 0.0)
    assert total_when_the_lender_reclaims() > BASE * len(HOMES)


def test_answers_of_a_restarted_lender_are_accepted():
    borrower = SlotLeases(1)
    borrower.lease_requests(0.0, ["x"], 2)
    borrower.on_answer(0.1, "x", SlotLeases(3, first_number=100).on_lease_request(0.0, "y", 2, 3))
    assert borrower.share(0.2) == 3
    borrower.lease_requests(2.5, ["x"], 2)
    borrower.on_answer(2.6, "x", SlotLeases(3, first_number=5000).on_lease_request(0.0, "y", 2, 3))
    assert borrower.share(4.0) == 3


def test_home_keeps_one_connection_if_its_base_share_falls_below_what_it_lent():
    """Without this, rolling restarts refused reads for the 3 s until the lease expired."""
    lender = SlotLeases(2)
    assert lender.on_lease_request(0.0, "y", 2, spare=2).slots == 1
    lender.base_share = 1
    assert lender.share(0.1) == 1
    lender.base_share = 0
    assert lender.share(0.2) == 0

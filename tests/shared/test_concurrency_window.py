"""The limit on a proxy's concurrent requests at an instance: the window, and a pool with one."""

from itertools import count

from hypothesis import given
from hypothesis import strategies as st

from orchidwind.shared.core.admission import Refusal, TrafficClass
from orchidwind.shared.core.concurrency_window import INITIAL_WINDOW, ConcurrencyWindow
from orchidwind.shared.core.pool import Grant, InstancePool, OpenConnection

CLASS = TrafficClass("any")
HIGH = TrafficClass("high", weight=8.0)


def test_rejections_make_it_smaller_and_answers_greater_again():
    window = ConcurrencyWindow()
    window.rejected(1.0)
    window.rejected(1.01)
    assert window.size == int(INITIAL_WINDOW * 0.7), "simultaneous rejections count once"
    for number in range(20):
        window.rejected(2.0 + number)
    assert window.size == 1
    for _ in range(30):
        window.answered(window.size, queueing=False, now=50.0)
    assert window.size >= 7


def test_it_does_not_grow_while_it_is_not_used():
    window = ConcurrencyWindow()
    for _ in range(100):
        window.answered(1, queueing=False, now=50.0)
    assert window.size == int(INITIAL_WINDOW)


def grown(window):
    """Let a window grow as far as it may."""
    for _ in range(100):
        window.answered(window.size, queueing=False, now=50.0)
    return window.size


def test_a_reduced_share_shrinks_the_window_at_once_and_bounds_its_growth():
    window = ConcurrencyWindow(4.0)
    assert grown(window) == 8
    window.set_fair_share(1.5, reduced=True)
    assert window.size == 3
    assert grown(window) == 3
    window.set_fair_share(0.2, reduced=True)
    assert (window.size, grown(window)) == (1, 1)
    window.set_fair_share(4.0)
    assert grown(window) == 8


def test_a_share_below_one_that_is_not_reduced_lets_the_window_grow_to_two():
    window = ConcurrencyWindow(0.5)
    window.set_fair_share(0.5)
    assert grown(window) == 2


@given(st.lists(st.tuples(st.booleans(), st.floats(0, 100)), max_size=60))
def test_one_request_may_always_run(steps):
    window = ConcurrencyWindow()
    for rejected, at in steps:
        if rejected:
            window.rejected(at)
        else:
            window.answered(5, queueing=False, now=at)
        assert window.size >= 1


def pool_with(connections, window):
    """Return a pool whose connections are all idle."""
    pool = InstancePool("i-0", 20, count(1), eager=False)
    for ticket in range(connections):
        pool.acquire(1000 + ticket, CLASS, 0.0, 9.0)
        pool.opened(max(pool.opening), 0.0)
    for connection in list(pool.busy):
        pool.release(connection, 0.0, reusable=True)
    assert (len(pool.idle), len(pool.running)) == (connections, 0)
    pool.window = window
    return pool


def granted(effects):
    return [effect.ticket for effect in effects if isinstance(effect, Grant)]


def test_requests_beyond_the_window_wait_until_one_is_answered():
    pool = pool_with(6, ConcurrencyWindow())
    taken = [granted(pool.acquire(ticket, CLASS, 0.0, 9.0)) for ticket in range(6)]
    assert taken == [[0], [1], [2], [3], [], []]
    first = min(pool.running)
    pool.exchange_began(first, 0.0)
    assert granted(pool.exchange_ended(first, 0.01, rejected=False, now=0.01)) == [4]


def test_a_transaction_that_rests_takes_no_room_and_its_statements_never_wait():
    pool = pool_with(6, ConcurrencyWindow())
    for ticket in range(6):
        pool.acquire(ticket, CLASS, 0.0, 9.0)
    resting = min(pool.running)
    assert granted(pool.exchange_ended(resting, 0.01, rejected=False, now=0.01)) == [4]
    pool.exchange_began(resting, 0.01)
    assert len(pool.running) > pool.window.size


def test_what_waits_is_taken_by_weight_and_refused_where_its_time_does_not_suffice():
    pool = pool_with(1, ConcurrencyWindow())
    pool.acquire(1, CLASS, 0.0, 9.0)
    (running,) = pool.running
    for number in range(50):
        pool.exchange_began(running, 0.1 * number - 0.1)
        pool.exchange_ended(running, 0.1, rejected=False, now=0.1 * number)
    pool.exchange_began(running, 5.0)
    pool.window.rejected(50.0)
    pool.window.rejected(51.0)
    pool.window.rejected(52.0)
    pool.window.rejected(53.0)
    assert pool.window.size == 1
    for ticket in range(2, 6):
        assert granted(pool.acquire(ticket, CLASS, 60.0, 69.0)) == []
    assert granted(pool.acquire(6, HIGH, 60.0, 69.0)) == []
    (refusal,) = pool.acquire(7, CLASS, 60.0, 60.2)
    assert isinstance(refusal, Refusal)
    assert refusal.retry_after > 0.2
    assert granted(pool.release(running, 60.1, reusable=True)) == [6]


def test_without_a_window_all_connections_are_used():
    pool = pool_with(6, None)
    taken = [granted(pool.acquire(ticket, CLASS, 0.0, 9.0)) for ticket in range(6)]
    assert taken == [[ticket] for ticket in range(6)]


def test_connections_that_an_instance_refused_are_there_soon_after_it_has_room():
    """A pool must recover soon after the instance has room again.

    During rolling restarts, a home proxy served on a single connection for six seconds.
    """
    pool = InstancePool("i-0", 8, count(1), eager=False)
    effects = [effect for ticket in range(8) for effect in pool.acquire(ticket, CLASS, 0.0, 99.0)]
    now, room_at = 0.0, 3.0
    attempts = 0
    while now < room_at + 1.5:
        for effect in effects:
            if isinstance(effect, OpenConnection):
                attempts += 1
                if now < room_at:
                    effects = [*effects, *pool.open_failed(effect.connection, now, limit_met=True)]
                else:
                    effects = [*effects, *pool.opened(effect.connection, now)]
        now += 0.05
        effects = pool.tick(now)
    assert len(pool.busy) == 8
    assert attempts <= 2 + room_at / 0.25 * 2 + 8, "the instance must not be tried much more often"

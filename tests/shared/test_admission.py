"""The order in which requests are granted connections, and which requests are refused."""

import pytest

from orchidwind.shared.core.admission import AdmissionQueue, Refusal, TrafficClass

CLASS = TrafficClass("any", queue_bound=1000)
SERVICE = 0.02
LATEST = 9.0


def queue_at(service=SERVICE):
    queue = AdmissionQueue()
    queue.service_seconds = service
    return queue


def enter(queue, ticket, target_at, now=0.0, expires_at=LATEST):
    return queue.enqueue(ticket, CLASS, now, expires_at, 1, target_at)


def taken(queue, now=0.0):
    tickets = []
    while (ticket := queue.next(now)) is not None:
        tickets.append(ticket)
    return tickets


def test_the_earliest_target_goes_first():
    queue = queue_at()
    for ticket, target_at in enumerate((0.4, 0.2, 0.3, 0.2)):
        assert enter(queue, ticket, target_at) is None
    assert taken(queue) == [1, 3, 2, 0]


def test_without_targets_the_order_is_that_of_arrival():
    queue = queue_at()
    for ticket in range(5):
        queue.enqueue(ticket, CLASS, 0.0, LATEST, 1)
    assert taken(queue) == [0, 1, 2, 3, 4]


def test_what_can_no_longer_be_in_time_goes_last_but_is_served():
    queue = queue_at()
    enter(queue, 1, target_at=0.1)
    enter(queue, 2, target_at=0.5)
    assert taken(queue, now=0.09) == [2, 1]


def test_a_request_that_left_is_not_taken():
    queue = queue_at()
    enter(queue, 1, target_at=0.1)
    enter(queue, 2, target_at=0.2)
    queue.remove(1)
    assert taken(queue) == [2]
    assert len(queue) == 0


def overload(queue, now):
    """Queue enough requests that can meet their target to leave no slot for overdue ones."""
    for ticket in range(100, 120):
        enter(queue, ticket, target_at=now + 0.2)
    assert queue.next(now) is not None


def test_under_overload_a_request_that_would_miss_its_target_is_refused_on_arrival():
    queue = queue_at()
    overload(queue, 0.0)
    assert enter(queue, 1, target_at=0.2, now=0.05) is None, "overload is not known yet"
    refusal = enter(queue, 2, target_at=0.35, now=0.15)
    assert isinstance(refusal, Refusal)
    assert refusal.retry_after == pytest.approx(0.02), "early enough to be served in time elsewhere"


def test_a_request_that_comes_after_its_target_is_not_asked_back_before_now():
    """A retry delay must not be negative.

    A request that another instance refused first may arrive after its target, which led to a
    negative retry delay.
    """
    queue = queue_at()
    overload(queue, 0.0)
    refusal = enter(queue, 1, target_at=0.1, now=0.15)
    assert isinstance(refusal, Refusal)
    assert refusal.retry_after >= 0.01


def test_one_whose_target_comes_first_does_not_count_those_that_come_later():
    queue = queue_at()
    for ticket in range(100, 120):
        enter(queue, ticket, target_at=2.0)
    assert queue.next(0.0) is not None
    assert enter(queue, 1, target_at=0.35, now=0.15) is None
    assert queue.next(0.15) == 1


def test_an_overdue_request_is_refused_once_no_slot_has_been_left_for_a_while():
    queue = queue_at()
    enter(queue, 1, target_at=0.1)
    for ticket in range(2, 10):
        enter(queue, ticket, target_at=5.0)
    assert queue.next(0.09) == 2
    assert queue.expire(0.15) == []
    (refusal,) = queue.expire(0.2)
    assert (refusal.ticket, refusal.expired) == (1, True)
    assert queue.deadline() == LATEST, "the other requests keep waiting"


def test_an_overdue_request_waits_while_slots_are_left_now_and_then():
    queue = queue_at()
    enter(queue, 1, target_at=0.1)
    enter(queue, 2, target_at=0.1)
    assert queue.next(0.15) == 1
    assert queue.expire(0.2) == []
    assert queue.next(0.24) == 2


def test_a_class_with_one_request_at_a_time_gets_its_share_of_a_backlog():
    """A class must not be charged twice when its queue becomes empty.

    With the double charge, a class with one request at a time got a third instead of half.
    """
    queue = queue_at(service=0.0001)
    other = TrafficClass("other", queue_bound=1000)
    for ticket in range(1000, 1300):
        queue.enqueue(ticket, other, 0.0, LATEST, 1)
    taken_of_class = 0
    queue.enqueue(0, CLASS, 0.0, LATEST, 1)
    for _ in range(200):
        ticket = queue.next()
        if ticket < 1000:
            taken_of_class += 1
            queue.enqueue(ticket + 1, CLASS, 0.0, LATEST, 1)
    assert 95 <= taken_of_class <= 105

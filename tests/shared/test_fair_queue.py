"""Fair sharing of one class among tenants, and of all slots among classes, by service time."""

from heapq import heappop, heappush

import pytest
from hypothesis import given
from hypothesis import strategies as st

from orchidwind.shared.core.admission import AdmissionQueue, Refusal, RefusalReason, TrafficClass
from orchidwind.shared.core.tenant_connections import NO_TENANT

LATEST = 100.0
CLASSES = tuple(
    TrafficClass(f"priority-{number}", weight, queue_bound=1000)
    for number, weight in enumerate((64.0, 16.0, 4.0))
)
ANY = CLASSES[0]
SERVICE = 0.01


def queue_at(service=SERVICE):
    queue = AdmissionQueue()
    queue.service_seconds = service
    return queue


def enter(queue, ticket, tenant, weight=1.0, traffic_class=ANY, target_at=LATEST, now=0.0):
    return queue.enqueue(
        ticket, traffic_class, now, LATEST, 1, target_at, tenant=tenant, tenant_weight=weight
    )


def serve(queue, count, seconds, again=lambda admitted: None):
    """Serve this many requests one after another; return the seconds of each tenant."""
    spent = {}
    for _ in range(count):
        admitted = queue.take()
        used = seconds(admitted)
        queue.record_service_time(used, admitted)
        spent[admitted.tenant] = spent.get(admitted.tenant, 0.0) + used
        again(admitted)
    return spent


def backlog(queue, tenants, each=400, **options):
    for number, (tenant, weight) in enumerate(tenants.items()):
        for ticket in range(each):
            assert enter(queue, number * 1000 + ticket, tenant, weight, **options) is None


# --- order -------------------------------------------------------------------------------------


class PlainQueue:
    """Reference: weighted classes, one order by target in each, no tenants, no service times."""

    def __init__(self):
        self.virtual_time = 0.0
        self.waiting = {item.name: [] for item in CLASSES}
        self.finish = dict.fromkeys(self.waiting, 0.0)
        self.start = dict.fromkeys(self.waiting, 0.0)
        self.used = []

    def schedule(self, item):
        self.start[item.name] = max(self.virtual_time, self.finish[item.name])
        self.finish[item.name] = self.start[item.name] + 1 / item.weight

    def enter(self, ticket, item, target_at):
        if not self.waiting[item.name]:
            self.schedule(item)
            if item not in self.used:
                self.used.append(item)
        heappush(self.waiting[item.name], (target_at, ticket))

    def next(self):
        busy = [item for item in self.used if self.waiting[item.name]]
        if not busy:
            return None
        item = min(busy, key=lambda item: self.finish[item.name])
        self.virtual_time = max(self.virtual_time, self.start[item.name])
        ticket = heappop(self.waiting[item.name])[1]
        if self.waiting[item.name]:
            self.schedule(item)
        return ticket


STEPS = st.lists(
    st.one_of(
        st.none(),
        st.tuples(st.sampled_from(CLASSES), st.sampled_from((10.0, 20.0, 30.0, LATEST))),
    ),
    max_size=80,
)


@given(STEPS)
def test_without_tenants_the_order_is_that_of_classes_and_targets(steps):
    # A power of two: dividing it by weights rounds as dividing one does.
    queue, plain = queue_at(service=2**-13), PlainQueue()
    for ticket, step in enumerate(steps):
        if step is None:
            assert queue.next() == plain.next()
        else:
            enter(queue, ticket, NO_TENANT, traffic_class=step[0], target_at=step[1])
            plain.enter(ticket, *step)
    while (expected := plain.next()) is not None:
        assert queue.next() == expected
    assert queue.next() is None


# --- shares ------------------------------------------------------------------------------------


def test_tenants_share_by_weight_whatever_they_send():
    queue = queue_at(service=0.0001)
    backlog(queue, {"tern": 1.0, "heron": 3.0})
    spent = serve(queue, 200, lambda admitted: SERVICE)
    assert spent["heron"] == pytest.approx(3 * spent["tern"], rel=0.05)


def test_tenants_share_by_the_time_that_their_requests_take():
    """Otherwise the tenant with the longer requests gets most of the time."""
    queue = queue_at(service=0.0001)
    backlog(queue, {"tern": 1.0, "heron": 1.0})
    spent = serve(queue, 300, lambda admitted: SERVICE * (5 if admitted.tenant == "tern" else 1))
    assert spent["heron"] == pytest.approx(spent["tern"], rel=0.1)


def test_a_tenant_with_little_to_do_does_not_wait_behind_the_backlog_of_another():
    queue = queue_at()
    backlog(queue, {"tern": 1.0})
    serve(queue, 50, lambda admitted: SERVICE)
    enter(queue, 9000, "heron")
    assert queue.next() == 9000


def test_room_that_a_tenant_left_unused_is_not_saved_up():
    queue = queue_at(service=0.0001)
    enter(queue, 9000, "heron")
    assert queue.next() == 9000
    backlog(queue, {"tern": 1.0})
    serve(queue, 100, lambda admitted: SERVICE)
    backlog(queue, {"heron": 1.0, "tern": 1.0}, each=0)
    for ticket in range(2000, 2100):
        enter(queue, ticket, "heron")
    spent = serve(queue, 60, lambda admitted: SERVICE)
    assert spent["tern"] == pytest.approx(spent["heron"], rel=0.1)


def test_no_room_is_left_unused_where_only_one_tenant_is_eligible():
    queue = queue_at()
    backlog(queue, {"tern": 1.0, "heron": 1.0}, each=20)
    served = [queue.take(0.0, {"tern"}.__contains__) for _ in range(20)]
    assert {item.tenant for item in served} == {"tern"}
    assert queue.take(0.0, {"tern"}.__contains__) is None
    assert len(queue) == 20


def test_a_tenant_that_had_to_wait_for_a_connection_does_not_hold_all_slots_for_long():
    queue = queue_at(service=0.0001)
    backlog(queue, {"tern": 1.0, "heron": 1.0}, each=450)
    for _ in range(400):
        queue.record_service_time(SERVICE, queue.take(0.0, {"tern"}.__contains__))
    served = 0
    while (admitted := queue.take()).tenant == "heron":
        queue.record_service_time(SERVICE, admitted)
        served += 1
    assert 0 < served * SERVICE <= 2.0


def test_a_weight_that_changes_while_requests_wait_holds_at_once():
    queue = queue_at(service=0.0001)
    backlog(queue, {"tern": 1.0, "heron": 1.0})
    enter(queue, 9000, "tern", weight=3.0)
    spent = serve(queue, 200, lambda admitted: SERVICE)
    assert spent["tern"] == pytest.approx(3 * spent["heron"], rel=0.05)


def test_the_only_class_is_expected_to_take_the_time_of_all_requests():
    queue = AdmissionQueue()
    enter(queue, 1, NO_TENANT)
    queue.record_service_time(0.5, queue.take())
    expected = 0.002 + 0.1 * (0.5 - 0.002)
    assert queue.times.expected(ANY.name) == queue.service_seconds == pytest.approx(expected)


@given(st.lists(st.sampled_from(("tern", "heron", "grebe")), min_size=1, max_size=60))
def test_each_request_is_taken_exactly_once(tenants):
    queue = queue_at(service=0.0001)
    for ticket, tenant in enumerate(tenants):
        enter(queue, ticket, tenant)
    taken = [queue.next() for _ in tenants]
    assert sorted(taken) == list(range(len(tenants)))
    assert queue.next() is None


def test_classes_share_the_time_of_the_slots_by_weight():
    """Charged by the request, the class with requests of five times the time got five times."""
    queue = queue_at(service=0.0001)
    for number, item in enumerate(CLASSES):
        for ticket in range(900):
            enter(queue, number * 1000 + ticket, NO_TENANT, traffic_class=item)
    work = {"priority-0": 0.011, "priority-1": 0.033, "priority-2": 0.055}
    spent = dict.fromkeys(work, 0.0)
    for _ in range(800):
        admitted = queue.take()
        seconds = work[admitted.class_name]
        queue.record_service_time(seconds, admitted)
        spent[admitted.class_name] += seconds
    total = sum(spent.values())
    for item in CLASSES:
        assert spent[item.name] / total == pytest.approx(item.weight / 84, rel=0.2)


# --- shares over all classes -------------------------------------------------------------------


def serve_two_priorities(seconds):
    """Serve one tenant's high priority and another's low one this long; return what each got."""
    queue = queue_at(service=0.0001)
    backlog(queue, {"tern": 1.0}, each=900)
    for ticket in range(9000, 9900):
        enter(queue, ticket, "heron", traffic_class=CLASSES[2])
    return serve(queue, round(seconds / SERVICE), lambda admitted: SERVICE)


def test_priority_goes_before_the_shares_of_tenants_for_short_bursts():
    spent = serve_two_priorities(0.5)
    assert spent["tern"] >= 0.85 * 0.5


def test_a_tenant_that_used_up_its_share_goes_after_the_lower_priority_of_others():
    """With priority alone, the other tenant got a seventeenth."""
    spent = serve_two_priorities(8.0)
    assert spent["tern"] + spent["heron"] == pytest.approx(8.0)
    assert spent["tern"] - spent["heron"] <= 1.0 + 2 * SERVICE


def test_what_a_tenant_used_long_ago_delays_it_for_a_bounded_time():
    queue = queue_at(service=0.0001)
    backlog(queue, {"tern": 1.0}, each=900)
    enter(queue, 9000, "heron", traffic_class=CLASSES[2])
    for _ in range(900):
        queue.record_service_time(SERVICE, queue.take(0.0, {"tern"}.__contains__))
    for ticket in range(10_000, 10_900):
        enter(queue, ticket, "heron", traffic_class=CLASSES[2])
    enter(queue, 20_000, "tern")
    served = 0
    while (admitted := queue.take()).ticket != 20_000:
        queue.record_service_time(SERVICE, admitted)
        served += 1
    assert served * SERVICE <= 4.0


def test_the_wait_of_a_low_priority_counts_the_later_requests_of_a_higher_one():
    """Otherwise it is admitted, waits long and is refused then."""
    queue, low = queue_at(), CLASSES[2]
    for ticket in range(3):
        enter(queue, ticket, NO_TENANT, traffic_class=low)
    now = 0.0
    enter(queue, 99, NO_TENANT)
    for ticket in range(100, 700):
        now += SERVICE
        admitted = queue.take(now)
        queue.record_service_time(SERVICE, admitted)
        same = low if admitted.class_name == low.name else ANY
        enter(queue, ticket, NO_TENANT, traffic_class=same, now=now)
    refusals = [
        enter(queue, 5000 + ticket, NO_TENANT, traffic_class=low, target_at=now + 0.5, now=now)
        for ticket in range(10)
    ]
    # With weights of 64 and 4, one of them is served in 17 times the service time.
    assert refusals.count(None) <= 0.5 / (17 * SERVICE)
    assert refusals[-1].reason is RefusalReason.TARGET


# --- refusals ----------------------------------------------------------------------------------


def under_overload(queue):
    """Let a tenant use all slots for longer than it takes to notice."""
    for ticket in range(30):
        enter(queue, ticket, "tern", target_at=1.0)
    assert queue.next(0.0) is not None


def test_the_backlog_of_a_tenant_costs_only_its_own_requests():
    queue = queue_at()
    under_overload(queue)
    refusal = enter(queue, 100, "tern", target_at=0.35, now=0.2)
    assert refusal is None, "its target comes before those of the others"
    refusal = enter(queue, 101, "tern", target_at=1.0, now=0.5)
    assert isinstance(refusal, Refusal)
    assert enter(queue, 102, "heron", target_at=0.75, now=0.5) is None


def test_a_refusal_says_whether_the_tenants_share_or_the_room_is_used_up():
    queue = queue_at()
    under_overload(queue)
    assert enter(queue, 101, "tern", target_at=1.0, now=0.5).reason is RefusalReason.TARGET
    queue = queue_at()
    backlog(queue, {"tern": 1.0}, each=30, target_at=1.0)
    for ticket in range(2000, 2030):
        enter(queue, ticket, "heron", target_at=1.0)
    for _ in range(30):
        queue.record_service_time(SERVICE, queue.take(0.0, {"tern"}.__contains__))
    refusal = enter(queue, 102, "tern", target_at=0.8, now=0.5)
    assert refusal is not None
    assert refusal.reason is RefusalReason.TENANT_SHARE


def test_a_full_class_and_a_deadline_have_their_own_reasons():
    queue = queue_at(service=0.1)
    few = TrafficClass("few", queue_bound=1)
    assert queue.enqueue(1, few, 0.0, 1.0, 1) is None
    assert queue.enqueue(2, few, 0.0, 1.0, 1).reason is RefusalReason.QUEUE_FULL
    for ticket in range(3, 20):
        refusal = queue.enqueue(ticket, ANY, 0.0, 1.0, 1)
    assert refusal.reason is RefusalReason.DEADLINE
    (first, *_) = queue.expire(1.0)
    assert first.reason is RefusalReason.DEADLINE

"""The choice of the instance for a read."""

from orchidwind.elected.core.group_view import GroupView, InstanceReport
from orchidwind.elected.core.routing import RoutingSettings, choose_read_route
from orchidwind.shared.core.positions import Position

SETTINGS = RoutingSettings()
IDLE = {"a": 0, "b": 0, "c": 0}


def report(name, received, replayed, *, at, recovery=True, term=1):
    return InstanceReport(name, at, at, recovery, term, Position(term, received), replayed)


def view_with(*reports):
    view = GroupView(("a", "b", "c"))
    for item in reports:
        view.add_report(item)
    return view


def test_overdue_estimate_is_not_taken_for_a_covered_floor():
    """If replay is later than estimated, the estimate is zero and the read would run too early."""
    view = view_with(
        report("a", 100, 100, at=0.0, recovery=False),
        report("b", 100, 50, at=0.0),
        report("a", 200, 200, at=1.0, recovery=False),
        report("b", 200, 100, at=1.02),
    )
    floor = Position(1, 200)
    route = choose_read_route(view, floor, 2.5, IDLE, SETTINGS)
    assert view.expected_wait(view.reports["b"], floor, 2.5) == 0.0
    assert route.instance == "b"
    assert route.must_wait


def test_covered_floor_needs_no_wait():
    view = view_with(report("a", 200, 200, at=1.0, recovery=False), report("b", 200, 200, at=1.0))
    route = choose_read_route(view, Position(1, 200), 1.0, IDLE, SETTINGS)
    assert route.instance == "b"
    assert not route.must_wait


def test_read_runs_on_the_primary_if_the_replica_lags_too_far():
    view = view_with(
        report("a", 100, 100, at=0.0, recovery=False),
        report("a", 200, 200, at=5.0, recovery=False),
        report("b", 200, 100, at=5.0),
    )
    route = choose_read_route(view, Position(1, 200), 5.0, IDLE, SETTINGS)
    assert route.instance == "a"
    assert not route.is_replica


def test_replica_of_a_lower_term_gets_no_read():
    view = view_with(
        report("a", 100, 100, at=1.0, recovery=False, term=2), report("b", 300, 300, at=1.0)
    )
    route = choose_read_route(view, Position(1, 100), 1.0, IDLE, SETTINGS)
    assert route.instance == "a"


def test_primary_of_a_lower_term_than_the_floor_gets_no_read():
    view = view_with(report("a", 300, 300, at=1.0, recovery=False))
    assert choose_read_route(view, Position(2, 100), 1.0, IDLE, SETTINGS) is None


def test_leaving_replica_gets_no_read():
    view = view_with(report("a", 100, 100, at=1.0, recovery=False), report("b", 100, 100, at=1.0))
    view.leaving = {"b"}
    assert choose_read_route(view, Position(1, 50), 1.0, IDLE, SETTINGS).instance == "a"

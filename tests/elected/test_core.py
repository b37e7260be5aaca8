"""Unit tests of the core modules of elected groups."""

import pytest
from hypothesis import given
from hypothesis import strategies as st

from orchidwind.elected.core.caller_session import AskToken, CallerSession, Forward, LocalAnswer
from orchidwind.elected.core.classification import StatementKind, classify
from orchidwind.elected.core.commit_barrier import (
    Acknowledge,
    CommitBarrier,
    Confirmed,
    PendingCommit,
    Superseded,
)
from orchidwind.elected.core.configuration import DatabaseSettings, InstanceAddress, ZoneSettings
from orchidwind.elected.core.configuration_history import (
    FETCH_SECONDS,
    Adopt,
    ConfigurationHistory,
    FetchFrom,
    FetchLimiter,
)
from orchidwind.elected.core.group_view import GroupView, InstanceReport
from orchidwind.elected.core.placement import Node, Placement
from orchidwind.elected.core.statements import FloorMode, Outcome
from orchidwind.shared.core.admission import AdmissionQueue, Refusal, TrafficClass
from orchidwind.shared.core.errors import ANSWERS, ErrorKind, Ran, RequestError
from orchidwind.shared.core.pool import CloseConnection, Grant, InstancePool, OpenConnection
from orchidwind.shared.core.positions import ORIGIN, Position
from orchidwind_bench.elected.simulation.members import sample_configuration

# --- positions and classification ---------------------------------------------------------------


@given(st.integers(0, 2**31), st.integers(0, 2**64 - 1))
def test_positions_are_read_back(term, lsn):
    position = Position(term, lsn)
    assert Position.parse(str(position)) == position


@pytest.mark.parametrize("text", ["", "1", "1:2", "x:0/0", "1:0/0/0", "-1:0/0"])
def test_bad_positions_are_refused(text):
    with pytest.raises(ValueError):
        Position.parse(text)


@pytest.mark.parametrize(
    ("sql", "kind"),
    [
        ("SELECT a FROM t WHERE b = $1", StatementKind.READ),
        ("select count(*) from t; select 2", StatementKind.READ),
        ("SELECT * FROM t FOR UPDATE", StatementKind.WRITE),
        ("SELECT nextval('s')", StatementKind.WRITE),
        ("SELECT unknown_function(1)", StatementKind.WRITE),
        ("WITH x AS (DELETE FROM t RETURNING *) SELECT * FROM x", StatementKind.WRITE),
        ("SELECT 'insert into t'", StatementKind.READ),
        ("SELECT a INTO b FROM t", StatementKind.WRITE),
        ("SELECT 1; DROP TABLE t", StatementKind.WRITE),
        ("SELECT 'broken", StatementKind.WRITE),
        ("EXPLAIN ANALYZE DELETE FROM t", StatementKind.WRITE),
        ("BEGIN READ ONLY", StatementKind.BEGIN_READ_ONLY),
        ("START TRANSACTION", StatementKind.BEGIN),
        ("END", StatementKind.COMMIT),
        ("ROLLBACK TO SAVEPOINT a", StatementKind.SAVEPOINT),
        ("LISTEN x", StatementKind.NOT_SUPPORTED),
        ("CREATE TEMP TABLE x (a int)", StatementKind.NOT_SUPPORTED),
        ("SELECT pg_advisory_lock(1)", StatementKind.NOT_SUPPORTED),
        ("SELECT 1; SET a = 1", StatementKind.NOT_SUPPORTED),
        ("SET TIME ZONE 'UTC'", StatementKind.SET),
        (" ; ", StatementKind.EMPTY),
    ],
)
def test_classification(sql, kind):
    assert classify(sql).kind is kind


@given(st.text(max_size=80))
def test_classification_ends_for_any_text(sql):
    classify(sql)


# --- errors -------------------------------------------------------------------------------------


def test_every_error_kind_has_an_answer():
    assert set(ANSWERS) == set(ErrorKind)
    for kind, answer in ANSWERS.items():
        assert len(answer.sqlstate) == 5
        if answer.ran is Ran.UNKNOWN:
            assert answer.retry_after_milliseconds is None, f"{kind} may have run"


# --- admission and pool -------------------------------------------------------------------------

HEAVY = TrafficClass("heavy", weight=8.0, queue_bound=1000)
LIGHT = TrafficClass("light", weight=2.0, queue_bound=1000)


def test_admission_follows_weights_without_starvation():
    queue = AdmissionQueue()
    queue.service_seconds = 0.0001
    for ticket in range(500):
        assert queue.enqueue(ticket, HEAVY, 0.0, 100.0, 4) is None
        assert queue.enqueue(1000 + ticket, LIGHT, 0.0, 100.0, 4) is None
    first = [queue.next() for _ in range(100)]
    assert sum(ticket < 1000 for ticket in first) == 80


def test_light_class_does_not_wait_behind_the_backlog_of_another():
    queue = AdmissionQueue()
    queue.service_seconds = 0.0001
    for ticket in range(500):
        queue.enqueue(ticket, HEAVY, 0.0, 100.0, 4)
    for _ in range(50):
        queue.next()
    queue.enqueue(1000, LIGHT, 0.0, 100.0, 4)
    assert 1000 in [queue.next() for _ in range(8)]


def test_request_that_cannot_start_in_time_is_refused_at_once():
    queue = AdmissionQueue()
    queue.service_seconds = 0.1
    refusals = [queue.enqueue(n, HEAVY, 0.0, 1.0, 2) for n in range(100)]
    refused = [item for item in refusals if isinstance(item, Refusal)]
    assert 70 <= len(refused) <= 85
    assert all(item.retry_after > 0.5 for item in refused)


class PoolDriver:
    """Simulates the connections and requests of a pool, and checks each effect."""

    def __init__(self):
        self.pool = InstancePool("a", 3, iter(range(1, 10_000)))
        self.granted, self.now, self.ticket = {}, 0.0, 0
        self.apply(self.pool.tick(0.0))

    def apply(self, effects):
        for effect in effects:
            if isinstance(effect, Grant):
                assert effect.connection not in self.granted, "one connection for two requests"
                self.granted[effect.connection] = effect.ticket
            elif isinstance(effect, CloseConnection):
                assert effect.connection not in self.granted, "closed under a request"
            elif isinstance(effect, OpenConnection):
                self.apply(self.open(effect.connection))

    def open(self, connection):
        if connection % 7 == 0:
            return self.pool.open_failed(connection, self.now, limit_met=True)
        return self.pool.opened(connection, self.now)

    def pop_granted(self, number):
        connection = sorted(self.granted)[number % len(self.granted)]
        del self.granted[connection]
        return connection

    def step(self, kind, number):
        self.now += 0.2
        if kind == "acquire":
            self.ticket += 1
            self.apply(self.pool.acquire(self.ticket, HEAVY, self.now, self.now + 5))
        elif kind == "release" and self.granted:
            self.apply(self.pool.release(self.pop_granted(number), self.now, number % 2 == 0))
        elif kind == "lost" and self.granted:
            self.apply(self.pool.lost(self.pop_granted(number), self.now))
        elif kind == "share":
            self.apply(self.pool.set_share(number, self.now))
        elif kind == "tick":
            self.apply(self.pool.tick(self.now))


@given(
    st.lists(
        st.tuples(
            st.sampled_from(["acquire", "release", "lost", "share", "tick"]), st.integers(0, 6)
        ),
        max_size=60,
    )
)
def test_pool_never_holds_more_than_its_share(steps):
    driver = PoolDriver()
    for kind, number in steps:
        driver.step(kind, number)
        pool = driver.pool
        assert set(driver.granted) == set(pool.busy)
        assert pool.size <= max(pool.share, len(pool.busy))


def test_pool_shrinks_at_the_connection_limit_and_grows_again():
    pool = InstancePool("a", 4, iter(range(1, 100)))
    opened = [effect.connection for effect in pool.tick(0.0)]
    pool.opened(opened[0], 0.0)
    for connection in opened[1:]:
        pool.open_failed(connection, 0.0, limit_met=True)
    assert pool.usable < 4
    now = 0.0
    for _ in range(20):
        now += 1.0
        for effect in pool.tick(now):
            if isinstance(effect, OpenConnection):
                pool.opened(effect.connection, now)
    assert len(pool.idle) == 4


# --- barrier ------------------------------------------------------------------------------------


def report(name, at, term, lsn, *, recovery=True, log_term=None):
    return InstanceReport(name, at, at, recovery, term, Position(log_term or term, lsn), lsn)


def make_barrier(acknowledge=Acknowledge.REPLICATED):
    view = GroupView(("a", "b", "c"))
    return view, CommitBarrier(view, acknowledge)


def apply_report(view, barrier, item):
    view.add_report(item)
    return barrier.on_report(item)


def test_commit_waits_for_a_majority_that_holds_it():
    view, barrier = make_barrier()
    assert barrier.add(PendingCommit(1, "a", 1, 10.0)) == []
    assert apply_report(view, barrier, report("a", 9.0, 1, 100, recovery=False)) == []
    assert apply_report(view, barrier, report("a", 10.0, 1, 100, recovery=False)) == []
    assert apply_report(view, barrier, report("b", 10.0, 1, 99)) == []
    assert apply_report(view, barrier, report("c", 9.5, 1, 100)) == []
    assert apply_report(view, barrier, report("b", 10.1, 1, 100)) == [
        Confirmed(1, Position(1, 100))
    ]


def test_higher_term_makes_the_outcome_unknown():
    view, barrier = make_barrier()
    barrier.add(PendingCommit(1, "a", 1, 10.0))
    apply_report(view, barrier, report("a", 10.0, 1, 100, recovery=False))
    assert apply_report(view, barrier, report("b", 10.0, 2, 100, log_term=1)) == [Superseded(1)]


def test_replica_whose_log_ends_in_an_earlier_term_does_not_count():
    view, barrier = make_barrier()
    barrier.add(PendingCommit(1, "a", 2, 10.0))
    apply_report(view, barrier, report("a", 10.0, 2, 100, recovery=False))
    assert apply_report(view, barrier, report("b", 10.0, 2, 500, log_term=1)) == []


def test_demotion_of_the_primary_supersedes_the_commit():
    view, barrier = make_barrier()
    barrier.add(PendingCommit(1, "a", 1, 10.0))
    assert apply_report(view, barrier, report("a", 10.0, 1, 100)) == [Superseded(1)]


def test_confirmed_mode_needs_only_the_term():
    view, barrier = make_barrier(Acknowledge.CONFIRMED)
    barrier.add(PendingCommit(1, "a", 1, 10.0))
    apply_report(view, barrier, report("a", 10.0, 1, 100, recovery=False))
    assert apply_report(view, barrier, report("b", 10.0, 1, 10)) == [Confirmed(1, Position(1, 100))]


def test_quorum_floor_needs_fresh_reports_of_a_majority():
    view, _ = make_barrier()
    view.add_report(report("a", 10.0, 1, 100, recovery=False))
    assert view.quorum_floor(10.0, require_primary=False) is None
    view.add_report(report("b", 9.0, 1, 120))
    assert view.quorum_floor(10.0, require_primary=False) is None
    view.add_report(report("c", 10.5, 1, 90))
    assert view.quorum_floor(10.0, require_primary=False) == Position(1, 100)


# --- placement ----------------------------------------------------------------------------------


def database(name, slots, zone_slots=None):
    instance = InstanceAddress("i", "127.0.0.1", 1, "z0")
    return DatabaseSettings(name, slots, [instance], "u", "p", zone_slots=zone_slots or {})


@given(st.integers(1, 12), st.integers(1, 8), st.integers(1, 30), st.text(min_size=1, max_size=8))
def test_shares_add_up_to_the_slots(slots, zones, nodes, name):
    zone_list = [ZoneSettings(f"z{number}", f"r{number % 2}") for number in range(zones)]
    members = [Node(f"n{number}", f"z{number % zones}") for number in range(nodes)]
    placement = Placement(members, zone_list)
    item = database(name, slots)
    assert sum(placement.shares_of(item, member) for member in members) == slots
    for zone in zone_list:
        home = placement.home(item, zone.name)
        owner = next(member for member in members if member.name == home)
        assert placement.shares_of(item, owner) > 0


def test_a_lost_node_moves_only_its_own_homes():
    zones = [ZoneSettings("z0")]
    members = [Node(f"n{number}", "z0") for number in range(10)]
    items = [database(f"d{number}", 2) for number in range(200)]
    before = Placement(members, zones)
    after = Placement(members[1:], zones)
    for item in items:
        if before.home(item, "z0") != "n0":
            assert after.home(item, "z0") == before.home(item, "z0")


# --- configuration history ----------------------------------------------------------------------


def test_node_without_configuration_waits_for_a_majority_of_its_peers():
    history = ConfigurationHistory()
    old, new = sample_configuration(3, ["z"], 1), sample_configuration(4, ["z"], 1)
    assert history.on_peer_version("p1", 3, 4) == [FetchFrom("p1")]
    assert history.on_peer_document("p1", old, 4) == []
    assert history.on_peer_version("p2", 4, 4) == [FetchFrom("p2")]
    assert history.on_peer_version("p3", 3, 4) == []
    assert history.on_peer_document("p2", new, 4) == [Adopt(new)]


def test_one_configuration_is_fetched_at_a_time():
    fetches = FetchLimiter()
    assert fetches.begin(1.0)
    assert not fetches.begin(1.0 + FETCH_SECONDS / 2)
    assert fetches.begin(1.0 + FETCH_SECONDS)
    fetches.ended()
    assert fetches.begin(1.0 + FETCH_SECONDS)


# --- caller's session ---------------------------------------------------------------------------


def outcome(**fields):
    return Outcome(1, **fields)


def test_named_session_asks_a_majority_until_it_sets_a_token():
    session = CallerSession({"orchidwind.session": "station-1"})
    assert session.floor.mode is FloorMode.QUORUM
    session.plan("SET orchidwind.session_token = '2:0/10'")
    assert (session.floor.mode, session.floor.position) == (FloorMode.KNOWN, Position(2, 16))
    assert isinstance(session.plan("SHOW orchidwind.session_token"), AskToken)


def test_floor_rises_with_writes_and_keeps_the_last_read_instance():
    session = CallerSession({})
    session.finished(outcome(instance="b"))
    assert session.floor.last_read_instance == "b"
    session.finished(outcome(instance="a", position=Position(1, 5)))
    assert (session.floor.position, session.floor.last_read_instance) == (Position(1, 5), "b")
    session.finished(outcome(instance="a", position=Position(1, 3)))
    assert session.floor.position == Position(1, 5)


def test_describe_does_not_consume_the_request_id():
    session = CallerSession({})
    session.plan("SET orchidwind.request_id = 'r1'")
    session.describe_plan("INSERT INTO t VALUES (1)")
    first = session.plan("INSERT INTO t VALUES (1)")
    second = session.plan("INSERT INTO t VALUES (1)")
    assert isinstance(first, Forward)
    assert isinstance(second, Forward)
    assert (first.request_id, second.request_id) == ("r1", "")


def test_lost_transaction_accepts_only_its_end():
    session = CallerSession({})
    session.finished(outcome(transaction_status=b"T"))
    lost = RequestError(ErrorKind.TRANSACTION_LOST, "gone")
    session.finished(outcome(error=lost))
    with pytest.raises(RequestError) as caught:
        session.plan("SELECT 1")
    assert caught.value.sqlstate == "25P02"
    assert session.plan("COMMIT") == LocalAnswer("ROLLBACK")
    assert not session.in_transaction


def test_token_request_is_refused_inside_a_transaction():
    session = CallerSession({})
    session.finished(outcome(transaction_status=b"T"))
    with pytest.raises(RequestError):
        session.plan("SHOW orchidwind.session_token")
    assert session.in_transaction


@pytest.mark.parametrize(
    "sql",
    [
        "SET role = admin",
        "SET search_path = a; DROP TABLE t",
        "SET x = 'a' || current_user",
        "SET orchidwind.session_token = 'nonsense'",
        "SET orchidwind.unknown = 1",
    ],
)
def test_unsupported_forms_of_set_are_refused(sql):
    with pytest.raises(RequestError):
        CallerSession({}).plan(sql)


def test_origin_is_below_every_position():
    assert Position(0, 1) > ORIGIN

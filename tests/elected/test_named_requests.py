"""Named requests on real processes: repeated through any proxy, they run once."""

import psycopg
import pytest
from psycopg import errors


@pytest.fixture
def moves(system):
    with psycopg.connect(system.dsn(0), autocommit=True) as opened:
        opened.execute("CREATE TABLE IF NOT EXISTS moves (pallet int, place text)")
        opened.execute("DELETE FROM moves")
        yield opened


def count_moves(system):
    with psycopg.connect(system.dsn(1, "-c orchidwind.session=counter"), autocommit=True) as opened:
        return opened.execute("SELECT count(*) FROM moves").fetchone()[0]


def test_repeat_through_other_proxies_returns_the_recorded_outcome(system, moves):
    statement = "INSERT INTO moves VALUES (1, 'a'), (2, 'b') /*request_id='move-1'*/"
    for proxy in (0, 1, 2, 0):
        with psycopg.connect(system.dsn(proxy), autocommit=True) as opened:
            assert opened.execute(statement).statusmessage == "INSERT 0 2"
    assert count_moves(system) == 2


def test_failed_named_request_may_be_repeated(system, moves):
    with psycopg.connect(system.dsn(0), autocommit=True) as opened:
        with pytest.raises(errors.UndefinedColumn):
            opened.execute("INSERT INTO moves (nowhere) VALUES (1) /*request_id='move-2'*/")
        good = "INSERT INTO moves VALUES (1, 'a') /*request_id='move-2'*/"
        assert opened.execute(good).statusmessage == "INSERT 0 1"
    assert count_moves(system) == 1


def test_named_transaction_runs_once(system, moves):
    moves.execute("INSERT INTO moves VALUES (0, 'x') /*request_id='ledger-is-there'*/")
    for attempt in range(2):
        with psycopg.connect(system.dsn(attempt), autocommit=True) as opened:
            opened.execute("SET orchidwind.request_id = 'move-3'")
            if attempt:
                with pytest.raises(errors.UniqueViolation):
                    opened.execute("BEGIN")
                continue
            opened.execute("BEGIN")
            opened.execute("INSERT INTO moves VALUES (1, 'a')")
            opened.execute("INSERT INTO moves VALUES (2, 'b')")
            opened.execute("COMMIT")
    assert count_moves(system) == 3


def test_request_id_with_invalid_characters_is_refused(system, moves):
    with pytest.raises(errors.InvalidParameterValue):
        moves.execute("INSERT INTO moves VALUES (1, 'a') /*request_id='a b; drop'*/")
    assert count_moves(system) == 0

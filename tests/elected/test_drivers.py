"""Common drivers against a running proxy: psycopg, asyncpg, SQLAlchemy."""

import asyncio
import uuid
from datetime import UTC, datetime
from decimal import Decimal

import asyncpg
import psycopg
import pytest
import sqlalchemy
from psycopg import errors


def run(scenario):
    return asyncio.run(scenario)


@pytest.fixture
def connection(system):
    with psycopg.connect(system.dsn(0), autocommit=True) as conn:
        yield conn


@pytest.fixture
def table(connection):
    name = f"t_{uuid.uuid4().hex[:12]}"
    connection.execute(
        f"CREATE TABLE {name} (id bigint PRIMARY KEY, name text, price numeric, at timestamp,"
        " data bytea, ok boolean, ratio double precision)"
    )
    return name


@pytest.mark.parametrize("binary", [False, True])
def test_types_round_trip(connection, table, binary):
    row = (
        2**40,
        "naïve ☃",
        Decimal("12.340"),
        datetime(2026, 1, 2, 3, 4, 5),
        b"\x00\xff",
        True,
        0.5,
    )
    connection.execute(f"INSERT INTO {table} VALUES (%s, %s, %s, %s, %s, %s, %s)", row)
    cursor = connection.execute(f"SELECT * FROM {table} WHERE id = %s", (2**40,), binary=binary)
    assert cursor.fetchone() == row
    connection.execute(f"INSERT INTO {table} (id) VALUES (%b)", (7,))
    found = connection.execute(f"SELECT name, data FROM {table} WHERE id = 7", binary=binary)
    assert found.fetchone() == (None, None)


def test_command_tags_and_affected_rows(connection, table):
    inserted = connection.execute(f"INSERT INTO {table} (id) VALUES (1), (2), (3)")
    assert (inserted.statusmessage, inserted.rowcount) == ("INSERT 0 3", 3)
    updated = connection.execute(f"UPDATE {table} SET name = 'x' WHERE id > 1")
    assert (updated.statusmessage, updated.rowcount) == ("UPDATE 2", 2)
    deleted = connection.execute(f"DELETE FROM {table}")
    assert (deleted.statusmessage, deleted.rowcount) == ("DELETE 3", 3)
    returned = connection.execute(f"INSERT INTO {table} (id) VALUES (9) RETURNING id")
    assert returned.fetchall() == [(9,)]
    assert returned.statusmessage == "INSERT 0 1"
    selected = connection.execute(f"SELECT id FROM {table}")
    assert selected.statusmessage == "SELECT 1"
    assert connection.execute(f"SELECT id FROM {table} WHERE id = 0").statusmessage == "SELECT 0"


def test_transaction_commit_rollback_and_failed_statement(system, table):
    with psycopg.connect(system.dsn(0)) as conn:
        conn.execute(f"INSERT INTO {table} (id) VALUES (1)")
        conn.rollback()
        conn.execute(f"INSERT INTO {table} (id) VALUES (2)")
        conn.commit()
        with pytest.raises(errors.UndefinedColumn):
            conn.execute(f"SELECT missing_column FROM {table}")
        assert conn.info.transaction_status == psycopg.pq.TransactionStatus.INERROR
        with pytest.raises(errors.InFailedSqlTransaction):
            conn.execute("SELECT 1")
        conn.rollback()
        assert conn.execute(f"SELECT id FROM {table}").fetchall() == [(2,)]


def test_unsupported_statement_fails_the_open_transaction(system, table):
    with psycopg.connect(system.dsn(0)) as conn:
        conn.execute(f"INSERT INTO {table} (id) VALUES (1)")
        with pytest.raises(errors.FeatureNotSupported):
            conn.execute("LISTEN news")
        conn.commit()
        assert conn.execute(f"SELECT id FROM {table}").fetchall() == []


def test_savepoints(system, table):
    with psycopg.connect(system.dsn(0)) as conn:
        with conn.transaction():
            conn.execute(f"INSERT INTO {table} (id) VALUES (1)")
            with pytest.raises(errors.UniqueViolation), conn.transaction():
                conn.execute(f"INSERT INTO {table} (id) VALUES (1)")
            conn.execute(f"INSERT INTO {table} (id) VALUES (2)")
        assert conn.execute(f"SELECT id FROM {table} ORDER BY id").fetchall() == [(1,), (2,)]


def test_several_statements_in_one_string(connection, table):
    cursor = connection.execute(
        f"INSERT INTO {table} (id) VALUES (1); INSERT INTO {table} (id) VALUES (2);"
        f" SELECT id FROM {table} ORDER BY id"
    )
    tags = [cursor.statusmessage]
    while cursor.nextset():
        tags.append(cursor.statusmessage)
    assert tags == ["INSERT 0 1", "INSERT 0 1", "SELECT 2"]
    assert cursor.fetchall() == [(1,), (2,)]


def test_failed_multi_statement_string_is_rolled_back(connection, table):
    with pytest.raises(errors.UniqueViolation):
        connection.execute(
            f"INSERT INTO {table} (id) VALUES (1); INSERT INTO {table} (id) VALUES (1)"
        )
    assert connection.execute(f"SELECT count(*) FROM {table}").fetchone() == (0,)


def test_pipeline_is_one_implicit_transaction(connection, table):
    with pytest.raises(psycopg.Error), connection.pipeline():
        connection.execute(f"INSERT INTO {table} (id) VALUES (1)")
        connection.execute(f"INSERT INTO {table} (id) VALUES (1)")
    assert connection.execute(f"SELECT count(*) FROM {table}").fetchone() == (0,)


def test_copy_is_rejected(connection, table):
    with (
        pytest.raises(errors.FeatureNotSupported),
        connection.cursor() as cursor,
        cursor.copy(f"COPY {table} FROM STDIN"),
    ):
        pass
    assert connection.execute("SELECT 1").fetchone() == (1,)


def test_cancel_stops_a_running_statement(system):
    async def scenario():
        conn = await psycopg.AsyncConnection.connect(system.dsn(0), autocommit=True)
        async with conn:
            sleep_task = asyncio.create_task(conn.execute("SELECT pg_sleep(3)"))
            await asyncio.sleep(0.3)
            await conn.cancel_safe()
            with pytest.raises(errors.QueryCanceled):
                await sleep_task
            cursor = await conn.execute("SELECT 1")
            assert await cursor.fetchone() == (1,)

    run(scenario())


def test_statement_may_run_longer_than_the_deadline(connection):
    assert connection.execute("SELECT pg_sleep(5.6)").statusmessage == "SELECT 1"


def test_large_result_arrives_whole(connection, table):
    # Translating a statement blocks the stand-in, for 0.25 s at 2,000 rows. If it were blocked for
    # as long as the election timeout, its group would elect another primary.
    for start in range(0, 20_000, 500):
        values = ", ".join(f"({number})" for number in range(start, start + 500))
        connection.execute(f"INSERT INTO {table} (id) VALUES {values}")
    with connection.cursor() as cursor:
        cursor.execute(
            f"SELECT a.id FROM {table} a, {table} b WHERE b.id < 5 ORDER BY a.id", binary=True
        )
        found = [row[0] for row in cursor]
    assert len(found) == 100_000
    assert found[:6] == [0, 0, 0, 0, 0, 1]
    assert found[-1] == 19_999


def test_settings_follow_the_session_not_the_server_connection(system):
    with (
        psycopg.connect(system.dsn(0), autocommit=True) as one,
        psycopg.connect(system.dsn(0), autocommit=True) as other,
    ):
        one.execute("SET search_path = mine")
        other.execute("SET search_path = theirs")
        for _ in range(3):
            assert one.execute("SHOW search_path").fetchone() == ("mine",)
            assert other.execute("SHOW search_path").fetchone() == ("theirs",)
        one.execute("RESET ALL")
        assert one.execute("SHOW search_path").fetchone() != ("mine",)


@pytest.mark.parametrize(
    ("change", "state"),
    [({"password": "wrong"}, "28P01"), ({"dbname": "nowhere"}, "3D000"), ({"user": "x"}, "28P01")],
)
def test_login_is_refused(system, change, state):
    options = psycopg.conninfo.conninfo_to_dict(system.dsn(0), **change)
    with pytest.raises(psycopg.OperationalError) as caught:
        psycopg.connect(**options)
    expected = {"28P01": "password authentication failed", "3D000": "does not exist"}
    assert expected[state] in str(caught.value)


async def connect_asyncpg(system):
    return await asyncpg.connect(
        host="127.0.0.1",
        port=system.caller_port(0),
        user=system.user,
        password=system.password,
        database=system.database,
        ssl=False,
    )


def test_asyncpg_prepares_and_reads_binary(system, table):
    async def scenario():
        conn = await connect_asyncpg(system)
        try:
            insert = f"INSERT INTO {table} (id, name, price, at, data) VALUES ($1, $2, $3, $4, $5)"
            timestamp = datetime(2026, 5, 6, 7, 8, 9, 123456)
            assert (
                await conn.execute(insert, 1, "a", Decimal("1.5"), timestamp, b"\x01")
            ) == "INSERT 0 1"
            await conn.executemany(
                insert, [(n, "b", Decimal(n), timestamp, None) for n in range(2, 12)]
            )
            prepared = await conn.prepare(f"SELECT * FROM {table} WHERE id = $1")
            for _ in range(3):
                row = await prepared.fetchrow(1)
                assert (row["name"], row["price"], row["at"], row["data"]) == (
                    "a",
                    Decimal("1.5"),
                    timestamp,
                    b"\x01",
                )
            assert await conn.fetchval(f"SELECT count(*) FROM {table}") == 11
            with pytest.raises(asyncpg.UniqueViolationError):
                async with conn.transaction():
                    await conn.execute(f"INSERT INTO {table} (id) VALUES (50)")
                    await conn.execute(f"INSERT INTO {table} (id) VALUES (1)")
            assert await conn.fetchval(f"SELECT count(*) FROM {table}") == 11
        finally:
            await conn.close()

    run(scenario())


def test_asyncpg_executemany_is_atomic(system, table):
    async def scenario():
        conn = await connect_asyncpg(system)
        try:
            with pytest.raises(asyncpg.UniqueViolationError):
                await conn.executemany(f"INSERT INTO {table} (id) VALUES ($1)", [(1,), (2,), (1,)])
            assert await conn.fetchval(f"SELECT count(*) FROM {table}") == 0
        finally:
            await conn.close()

    run(scenario())


def test_sqlalchemy_engine(system, table):
    url = sqlalchemy.URL.create(
        "postgresql+psycopg",
        system.user,
        system.password,
        "127.0.0.1",
        system.caller_port(0),
        system.database,
        query={"sslmode": "disable"},
    )
    engine = sqlalchemy.create_engine(url, use_native_hstore=False)
    items = sqlalchemy.Table(
        table,
        sqlalchemy.MetaData(),
        sqlalchemy.Column("id", sqlalchemy.BigInteger, primary_key=True),
        sqlalchemy.Column("name", sqlalchemy.Text),
        sqlalchemy.Column("price", sqlalchemy.Numeric),
    )
    with engine.begin() as conn:
        conn.execute(sqlalchemy.insert(items), [{"id": 1, "name": "a", "price": Decimal("2.5")}])
        conn.execute(sqlalchemy.insert(items), [{"id": 2, "name": None, "price": None}])
    with engine.connect() as conn:
        rows = conn.execute(sqlalchemy.select(items).order_by(items.c.id)).all()
    assert rows == [(1, "a", Decimal("2.5")), (2, None, None)]
    engine.dispose()


def test_timestamptz_is_utc_aware(connection, table):
    connection.execute(f"CREATE TABLE {table}_z (at timestamptz)")
    timestamp = datetime(2026, 3, 4, 5, 6, 7, tzinfo=UTC)
    connection.execute(f"INSERT INTO {table}_z VALUES (%s)", (timestamp,))
    assert connection.execute(f"SELECT at FROM {table}_z").fetchone() == (timestamp,)

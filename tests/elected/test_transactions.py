"""Transactions of many sessions stay isolated when they share few server connections.

Each session inserts rows with marks of its own. A log record must hold all rows
of one mark and of no other, and the marks in the log must be the committed ones.
"""

import asyncio
import random
from contextlib import suppress

import psycopg

SESSIONS = 30
ROUNDS = 6


async def run_session(system, number, expected):
    generator = random.Random(number)
    for round_number in range(ROUNDS):
        proxy = generator.randrange(3)
        conn = await psycopg.AsyncConnection.connect(system.dsn(proxy))
        mark = number * 1000 + round_number
        ending = generator.choice(["commit", "rollback", "fail", "abandon", "cancel"])
        await conn.execute("INSERT INTO pairs VALUES (%s, 1)", (mark,))
        await asyncio.sleep(generator.random() * 0.01)
        cursor = await conn.execute("SELECT mark FROM pairs WHERE mark >= %s", (number * 1000,))
        seen = {row[0] for row in await cursor.fetchall() if row[0] // 1000 == number}
        assert mark in seen, "a transaction does not see its own row"
        await end_transaction(conn, ending, mark, expected)


async def end_transaction(conn, ending, mark, expected):
    if ending == "abandon":
        await conn.close()
        return
    if ending == "fail":
        with suppress(psycopg.errors.UndefinedColumn):
            await conn.execute("SELECT missing_column FROM pairs")
        await conn.commit()  # COMMIT rolls a failed transaction back
    elif ending == "cancel":
        sleep_task = asyncio.create_task(conn.execute("SELECT pg_sleep(5)"))
        await asyncio.sleep(0.02)
        await conn.cancel_safe()
        with suppress(psycopg.errors.QueryCanceled):
            await sleep_task
        await conn.rollback()
    else:
        await conn.execute("INSERT INTO pairs VALUES (%s, 2)", (mark,))
        if ending == "commit":
            await conn.commit()
            expected.add(mark)
        else:
            await conn.rollback()
    await conn.close()


def test_transactions_on_few_connections_never_mix(system):
    expected = set()

    async def scenario():
        setup = await psycopg.AsyncConnection.connect(system.dsn(0), autocommit=True)
        await setup.execute("CREATE TABLE pairs (mark bigint, part int)")
        await setup.close()
        await asyncio.gather(*(run_session(system, n, expected) for n in range(SESSIONS)))
        primary = await system.deployment.primary(system.database)
        return await system.deployment.log(system.database, primary.name)

    log = asyncio.run(scenario())
    committed = set()
    for record in log:
        parts = [c.parameters for c in record.changes if "INTO pairs" in c.statement]
        if not parts:
            continue
        marks = {parameters[0] for parameters in parts}
        assert len(marks) == 1, f"one transaction contains rows of several marks: {marks}"
        assert len(parts) == 2, f"mark {marks} was committed only in part"
        committed |= marks
    assert committed == expected
    assert len(expected) > 10

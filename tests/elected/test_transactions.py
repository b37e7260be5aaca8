"""Transactions on few server connections never mix: each log record holds one session's marks."""

import asyncio
import random
from contextlib import suppress

import psycopg

SESSIONS = 30
ROUNDS = 6


async def one_session(system, number, expected):
    generator = random.Random(number)
    for turn in range(ROUNDS):
        proxy = generator.randrange(3)
        opened = await psycopg.AsyncConnection.connect(system.dsn(proxy))
        mark = number * 1000 + turn
        ending = generator.choice(["commit", "rollback", "fail", "abandon", "cancel"])
        await opened.execute("INSERT INTO pairs VALUES (%s, 1)", (mark,))
        await asyncio.sleep(generator.random() * 0.01)
        cursor = await opened.execute("SELECT mark FROM pairs WHERE mark >= %s", (number * 1000,))
        seen = {row[0] for row in await cursor.fetchall() if row[0] // 1000 == number}
        assert mark in seen, "a transaction does not see its own row"
        await end(opened, ending, mark, expected)


async def end(opened, ending, mark, expected):
    if ending == "abandon":
        await opened.close()
        return
    if ending == "fail":
        with suppress(psycopg.errors.UndefinedColumn):
            await opened.execute("SELECT missing_column FROM pairs")
        await opened.commit()  # a failed block rolls back
    elif ending == "cancel":
        sleeping = asyncio.create_task(opened.execute("SELECT pg_sleep(5)"))
        await asyncio.sleep(0.02)
        await opened.cancel_safe()
        with suppress(psycopg.errors.QueryCanceled):
            await sleeping
        await opened.rollback()
    else:
        await opened.execute("INSERT INTO pairs VALUES (%s, 2)", (mark,))
        if ending == "commit":
            await opened.commit()
            expected.add(mark)
        else:
            await opened.rollback()
    await opened.close()


def test_transactions_on_few_connections_never_mix(system):
    expected = set()

    async def work():
        setup = await psycopg.AsyncConnection.connect(system.dsn(0), autocommit=True)
        await setup.execute("CREATE TABLE pairs (mark bigint, part int)")
        await setup.close()
        await asyncio.gather(*(one_session(system, n, expected) for n in range(SESSIONS)))
        primary = await system.deployment.primary(system.database)
        return await system.deployment.log(system.database, primary.name)

    log = asyncio.run(work())
    committed = set()
    for record in log:
        parts = [c.parameters for c in record.changes if "INTO pairs" in c.statement]
        if not parts:
            continue
        marks = {parameters[0] for parameters in parts}
        assert len(marks) == 1, f"one transaction holds the marks {marks}"
        assert len(parts) == 2, f"mark {marks} is there in part"
        committed |= marks
    assert committed == expected
    assert len(expected) > 10

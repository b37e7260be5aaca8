"""Connections to a PostgreSQL database that fall silent for good, on sockets."""

import asyncio
import re
from types import SimpleNamespace

from support.relay import HOST, Relay

from orchidwind.elected.core.configuration import DatabaseSettings, InstanceAddress
from orchidwind.elected.core.statements import (
    TRANSACTION_OPEN,
    ChannelKey,
    Column,
    Floor,
    FloorMode,
    RequestKind,
    Statement,
    StatementRequest,
)
from orchidwind.elected.network.answer_port import AnswerPort
from orchidwind.elected.network.group_runner import GroupRunner
from orchidwind.elected.network.observer import STATUS_QUERY
from orchidwind.elected.postgres.executor import Description, Executor
from orchidwind.elected.postgres.listener import PostgresListener
from orchidwind.elected.postgres.session_host import SessionHost
from orchidwind.elected.postgres.wire import codec
from orchidwind.shared.core.admission import TrafficClass
from orchidwind.shared.core.errors import ErrorKind

TEXT_OID = 25
DEADLINE_SECONDS = 0.5
# The deadline, the next look of a statement that is let run, the way of the question, and slack.
FOUND_SECONDS = DEADLINE_SECONDS + 1.5
# Not the number of a request that comes alone.
CHANNEL = 1_000_000
STATUS = (b"f", b"0/1", b"0/1", b"1", b"1")


class Database(Executor):
    """One session of a primary without replicas; `SLEEP` runs until it is told to end."""

    def __init__(self, host):
        self.host = host

    async def execute(self, statement, sink):
        values = (b"1",)
        if statement.sql.startswith("BEGIN"):
            self.transaction_status = TRANSACTION_OPEN
        if statement.sql == STATUS_QUERY:
            values = STATUS
        elif found := re.search(r"pg_stat_activity WHERE pid = (\d+)", statement.sql):
            session = self.host.listener.sessions.get(int(found[1]))
            values = (b"active" if session and session.busy else b"idle",)
        elif "SLEEP" in statement.sql:
            await self.host.woken.wait()
        await sink.columns(tuple(Column(f"c{n}", TEXT_OID) for n in range(len(values))))
        await sink.rows(codec.make_data_row(list(values)), 1)
        await sink.complete("SELECT 1")

    async def describe(self, sql, parameter_types):
        return Description()

    def cancel(self):
        pass

    def mark_failed(self):
        pass

    async def close(self):
        pass


class Host(SessionHost):
    """Admits everybody."""

    def __init__(self):
        self.woken = asyncio.Event()
        self.listener = PostgresListener(self, maximum_connections=100)
        self.listener.listen(0, HOST)

    @property
    def port(self):
        return next(iter(self.listener._sockets.values())).getsockname()[1]

    def verifier(self, user):
        return None

    def knows_user(self, user):
        return True

    async def open(self, parameters):
        return Database(self)

    def cancel(self, process_id, secret):
        pass


class Nowhere(AnswerPort):
    """Drops an answer."""

    async def columns(self, columns):
        pass

    async def rows(self, encoded, count):
        pass

    async def tag(self, command_tag):
        pass

    def still_running(self):
        pass


class Caller:
    """Asks a home's group."""

    def __init__(self, runner):
        self._runner = runner
        self._number = 0

    def ask(self, sql="SELECT 1", kind=RequestKind.READ, channel=0, in_transaction=False):
        self._number += 1
        loop = asyncio.get_running_loop()
        done = loop.create_future()
        request = StatementRequest(
            number=self._number,
            channel=ChannelKey("tests", channel or self._number),
            database="d",
            kind=kind,
            statement=Statement(sql),
            floor=Floor(FloorMode.KNOWN),
            traffic_class=TrafficClass("any"),
            expires_at=loop.time() + DEADLINE_SECONDS,
            in_transaction=in_transaction,
        )
        self._runner.submit(request, Nowhere(), done.set_result)
        return done


def with_group(scenario):
    async def work():
        host = Host()
        relay = Relay(host.port)
        address = InstanceAddress("i-0", HOST, await relay.start(), "one/a")
        database = DatabaseSettings("d", 4, [address], "u", "p")
        no_leases = SimpleNamespace(other_homes=lambda database: [])
        runner = GroupRunner(database, 4, "one/a", no_leases)
        caller = Caller(runner)
        while (await caller.ask()).error is not None:
            await asyncio.sleep(0.05)
        try:
            await scenario(host, relay, runner, caller)
        finally:
            runner.close()
            host.listener.stop()
            relay.stop()

    asyncio.run(work())


async def outcome(asked):
    async with asyncio.timeout(FOUND_SECONDS):
        return await asked


def test_a_statement_on_a_silent_connection_is_not_let_run_for_ever(monkeypatch):
    monkeypatch.setattr("orchidwind.elected.core.request_deadlines.STILL_RUNNING_SECONDS", 0.5)

    async def scenario(host, relay, runner, caller):
        relay.silence()
        told = await outcome(caller.ask("INSERT INTO t VALUES (1)", RequestKind.WRITE))
        assert told.error.kind is ErrorKind.OUTCOME_UNKNOWN
        # The others were as old, and at rest: none of them pays again.
        for _ in range(6):
            assert (await outcome(caller.ask())).error is None

    with_group(scenario)


def test_a_transaction_that_fell_silent_at_rest_is_lost_with_its_next_statement(monkeypatch):
    monkeypatch.setattr("orchidwind.elected.core.request_deadlines.STILL_RUNNING_SECONDS", 0.5)

    async def scenario(host, relay, runner, caller):
        begun = await outcome(caller.ask("BEGIN", RequestKind.BEGIN, CHANNEL))
        assert begun.error is None
        relay.silence()
        told = await outcome(caller.ask("SELECT 1", RequestKind.READ, CHANNEL, True))
        assert told.error.kind is ErrorKind.TRANSACTION_LOST
        assert not runner.group.transactions

    with_group(scenario)


def test_a_statement_that_runs_for_long_on_a_connection_that_speaks_is_let_run(monkeypatch):
    monkeypatch.setattr("orchidwind.elected.core.request_deadlines.STILL_RUNNING_SECONDS", 0.5)

    async def scenario(host, relay, runner, caller):
        asked = caller.ask("SELECT 'SLEEP'")
        await asyncio.sleep(FOUND_SECONDS)
        assert not asked.done()
        host.woken.set()
        assert (await outcome(asked)).error is None

    with_group(scenario)

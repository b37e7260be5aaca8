"""Connections to a PostgreSQL database that permanently stop delivering bytes, over sockets.

Guards against a home proxy that waits without end for the answer of a statement which the database
never received, because the connection stayed open but lost everything that was sent on it.
"""

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
# The deadline, the next check of a statement that still runs, the query to the database, and slack.
DETECTION_SECONDS = DEADLINE_SECONDS + 1.5
# Differs from the channels of single requests, which equal their request numbers.
CHANNEL = 1_000_000
STATUS = (b"f", b"0/1", b"0/1", b"1", b"1")


class Database(Executor):
    """One session of a primary without replicas; `SLEEP` runs until `Host.woken` is set."""

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
    """Accepts every login."""

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


class DiscardingPort(AnswerPort):
    """Discards an answer."""

    async def columns(self, columns):
        pass

    async def rows(self, encoded, count):
        pass

    async def tag(self, command_tag):
        pass

    def still_running(self):
        pass


class Caller:
    """Submits requests to a group runner."""

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
        self._runner.submit(request, DiscardingPort(), done.set_result)
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


async def outcome(pending):
    async with asyncio.timeout(DETECTION_SECONDS):
        return await pending


def test_a_statement_on_a_silent_connection_is_given_up(monkeypatch):
    monkeypatch.setattr("orchidwind.elected.core.request_deadlines.STILL_RUNNING_SECONDS", 0.5)

    async def scenario(host, relay, runner, caller):
        relay.silence()
        answer = await outcome(caller.ask("INSERT INTO t VALUES (1)", RequestKind.WRITE))
        assert answer.error.kind is ErrorKind.OUTCOME_UNKNOWN
        # The other connections were idle and silent, too: none of them may fail another request.
        for _ in range(6):
            assert (await outcome(caller.ask())).error is None

    with_group(scenario)


def test_a_transaction_on_a_silent_connection_is_lost_at_its_next_statement(monkeypatch):
    monkeypatch.setattr("orchidwind.elected.core.request_deadlines.STILL_RUNNING_SECONDS", 0.5)

    async def scenario(host, relay, runner, caller):
        begun = await outcome(caller.ask("BEGIN", RequestKind.BEGIN, CHANNEL))
        assert begun.error is None
        relay.silence()
        answer = await outcome(caller.ask("SELECT 1", RequestKind.READ, CHANNEL, True))
        assert answer.error.kind is ErrorKind.TRANSACTION_LOST
        assert not runner.group.transactions

    with_group(scenario)


def test_a_long_statement_on_a_live_connection_keeps_running(monkeypatch):
    monkeypatch.setattr("orchidwind.elected.core.request_deadlines.STILL_RUNNING_SECONDS", 0.5)

    async def scenario(host, relay, runner, caller):
        pending = caller.ask("SELECT 'SLEEP'")
        await asyncio.sleep(DETECTION_SECONDS)
        assert not pending.done()
        host.woken.set()
        assert (await outcome(pending)).error is None

    with_group(scenario)

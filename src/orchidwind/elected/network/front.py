"""The callers' side of a proxy: takes statements, sends them to the home of the database."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass, replace
from itertools import count
from typing import Protocol

from orchidwind.elected.core.caller_session import (
    AskToken,
    CallerSession,
    Forward,
    LocalAnswer,
    Plan,
)
from orchidwind.elected.core.request_deadlines import STILL_RUNNING_SECONDS
from orchidwind.elected.core.retries import HOME_RETRY_SECONDS, after_link_loss, retry_home
from orchidwind.elected.core.statements import (
    ChannelKey,
    Column,
    Outcome,
    RequestKind,
    StatementRequest,
)
from orchidwind.elected.network import codec
from orchidwind.elected.network.backend import AnswerPort
from orchidwind.elected.network.home_service import HomeService
from orchidwind.elected.network.link_messages import from_answer, from_records, to_execute
from orchidwind.elected.network.peer_link import PeerLink
from orchidwind.elected.postgres.executor import (
    Description,
    Executor,
    NullSink,
    ResultSink,
    SessionParameters,
    Statement,
)
from orchidwind.elected.postgres.wire import codec as message_codec
from orchidwind.shared.core.admission import TrafficClass
from orchidwind.shared.core.errors import ErrorKind, PeerUnavailable, RequestError

# PostgreSQL's type identifier of `text` (pg_type).
_TEXT_OID = 25
# Chosen: the home's own answer to a passed deadline says more, and has this long to come.
_ANSWER_GRACE_SECONDS = 0.25
# Chosen: what a home may take after its last sign that a statement runs: above CONFIRM_SECONDS of
# `core/commit_barrier.py`, with which it may still wait for the commit.
_CONFIRM_GRACE_SECONDS = 2.5
_LOCAL_ORIGIN = "local"
# Chosen: a quarter of the window of `link_server.py`, so that an answer flows without a stop.
_CREDIT_BYTES = 128 * 1024


@dataclass(frozen=True, slots=True)
class Home:
    """Where a database is served: here, or over a link."""

    name: str
    link: PeerLink | None


class Router(Protocol):
    """What the front needs to know of the cluster."""

    def home(self, database: str) -> Home | None:
        """The home of a database for this node's zone."""

    def traffic_class(self, user: str, application_name: str, tag: str) -> TrafficClass:
        """The traffic class of a request."""


class RequestObserver(Protocol):
    """Takes measurements of finished requests."""

    def finished(
        self, kind: RequestKind, traffic_class: str, outcome: Outcome, seconds: float
    ) -> None:
        """A request of a class ended."""


class _SinkPort(AnswerPort):
    """Passes the parts of an answer to the caller's connection."""

    def __init__(self, sink: ResultSink) -> None:
        self._sink = sink
        self.delivered = False
        self.owed = 0

    async def columns(self, columns: tuple[Column, ...]) -> None:
        """Pass the columns on."""
        self.delivered = True
        await self._sink.columns(columns)

    async def rows(self, encoded: bytes, count: int) -> None:
        """Pass rows on."""
        self.delivered = True
        await self._sink.rows(encoded, count)

    async def tag(self, command_tag: str) -> None:
        """Pass a tag on."""
        self.delivered = True
        await self._sink.complete(command_tag)

    def still_running(self) -> None:
        """The caller waits anyway."""


class FrontService:
    """Sends requests to homes; shared by all callers of this node."""

    def __init__(
        self, router: Router, homes: HomeService, observer: RequestObserver | None = None
    ) -> None:
        self.router = router
        self.observer = observer
        self._homes = homes
        self._channels = count(1)
        self._numbers = count(1)

    def next_channel(self) -> int:
        """A number for a new session, or for one that must not be confused with its past."""
        return next(self._channels)

    def next_number(self) -> int:
        """A number for a request."""
        return next(self._numbers)

    async def send(self, request: StatementRequest, home: Home, port: _SinkPort) -> Outcome:
        """Send to a home and wait for the outcome; raises PeerUnavailable."""
        if home.link is None:
            return await self._send_here(request, port)
        return await self._send_over(request, home.link, port)

    async def _send_here(self, request: StatementRequest, port: _SinkPort) -> Outcome:
        loop = asyncio.get_running_loop()
        done: asyncio.Future[Outcome] = loop.create_future()

        def finished(outcome: Outcome) -> None:
            if not done.done():
                done.set_result(outcome)

        local = replace(request, number=next(self._homes.numbers))
        self._homes.submit(local, port, finished)
        return await done

    async def _send_over(
        self, request: StatementRequest, link: PeerLink, port: _SinkPort
    ) -> Outcome:
        loop = asyncio.get_running_loop()
        pending = await link.execute(to_execute(request, loop.time()))
        try:
            async with asyncio.timeout_at(request.expires_at + _ANSWER_GRACE_SECONDS) as bound:
                while True:
                    part = await pending.parts.get()
                    if isinstance(part, PeerUnavailable):
                        raise part
                    if isinstance(part, codec.Done) and part.has_rows:
                        await port.columns(from_records(part.columns))
                        if part.count:
                            await port.rows(part.encoded, part.count)
                    if isinstance(part, codec.Done | codec.Failed):
                        return from_answer(part)
                    if isinstance(part, codec.StillRunning):
                        later = loop.time() + STILL_RUNNING_SECONDS + _CONFIRM_GRACE_SECONDS
                        bound.reschedule(later)
                        continue
                    await self._pass_on(part, link, port)
        except TimeoutError as error:
            link.send(codec.CloseChannel(request.channel.number))
            raise PeerUnavailable("the home proxy does not answer", sent=True) from error
        finally:
            link.forget(request.number)

    async def _pass_on(
        self,
        part: codec.ResultColumns | codec.ResultRows | codec.ResultTag,
        link: PeerLink,
        port: _SinkPort,
    ) -> None:
        if isinstance(part, codec.ResultRows):
            await port.rows(part.encoded, part.count)
            port.owed += len(part.encoded)
            if port.owed >= _CREDIT_BYTES:
                link.send(codec.Credit(part.number, port.owed))
                port.owed = 0
        elif isinstance(part, codec.ResultColumns):
            await port.columns(from_records(part.columns))
        else:
            await port.tag(part.tag)

    def cancel(self, home: Home, channel: int) -> None:
        """Cancel what runs on a channel."""
        if home.link is None:
            self._homes.cancel(ChannelKey(_LOCAL_ORIGIN, channel))
        else:
            home.link.send(codec.Cancel(channel))

    def close_channel(self, home: Home, channel: int) -> None:
        """The caller of a channel has gone."""
        if home.link is None:
            self._homes.close_channel(ChannelKey(_LOCAL_ORIGIN, channel))
        else:
            home.link.send(codec.CloseChannel(channel))


class FrontExecutor(Executor):
    """Runs the statements of one caller's connection."""

    def __init__(self, service: FrontService, parameters: SessionParameters) -> None:
        self.session = CallerSession(parameters.options)
        self._service = service
        self._parameters = parameters
        self._channel = service.next_channel()
        self._home: Home | None = None
        self._loop = asyncio.get_running_loop()

    @property
    def transaction_status(self) -> bytes:  # type: ignore[override]
        """The status byte of ReadyForQuery."""
        return self.session.transaction_status

    async def execute(self, statement: Statement, sink: ResultSink) -> None:
        """Run a statement here or at the home."""
        plan = self.session.plan(statement.sql)
        if isinstance(plan, LocalAnswer):
            await _answer_locally(plan, sink)
            return
        if isinstance(plan, AskToken):
            outcome = await self._request(RequestKind.TOKEN, statement, Forward(RequestKind.TOKEN))
            token = str(max(outcome.position, self.session.floor.position))
            await _answer_locally(LocalAnswer("SHOW", "orchidwind.session_token", token), sink)
            return
        port = _SinkPort(sink)
        if plan.sql:
            statement = replace(statement, sql=plan.sql)
        outcome = await self._request(plan.kind, statement, plan, port)
        await sink.complete(outcome.tag)

    async def describe(self, sql: str, parameter_types: tuple[int, ...]) -> Description:
        """Tell the types of a statement."""
        plan: Plan = self.session.describe_plan(sql)
        if isinstance(plan, LocalAnswer) and not plan.column:
            return Description()
        if isinstance(plan, LocalAnswer | AskToken):
            name = plan.column if isinstance(plan, LocalAnswer) else "orchidwind.session_token"
            return Description(columns=(Column(name, _TEXT_OID),))
        statement = Statement(sql, parameter_types=parameter_types)
        outcome = await self._request(RequestKind.DESCRIBE, statement, plan)
        return outcome.description or Description()

    async def _request(
        self,
        kind: RequestKind,
        statement: Statement,
        plan: Forward,
        port: _SinkPort | None = None,
    ) -> Outcome:
        started = self._loop.time()
        traffic_class = self._service.router.traffic_class(
            self._parameters.user, self._parameters.application_name, plan.traffic_tag
        )
        request = StatementRequest(
            number=self._service.next_number(),
            channel=ChannelKey(_LOCAL_ORIGIN, self._channel),
            database=self._parameters.database,
            kind=kind,
            statement=statement,
            floor=self.session.floor,
            traffic_class=traffic_class,
            expires_at=started + traffic_class.deadline,
            in_transaction=self.session.in_transaction,
            request_id=plan.request_id,
            settings=self.session.settings,
        )
        outcome = await self._send_until_taken(request, port)
        self.session.finished(outcome)
        if self._service.observer is not None:
            elapsed = self._loop.time() - started
            self._service.observer.finished(kind, traffic_class.name, outcome, elapsed)
        if outcome.error is not None:
            raise outcome.error
        return outcome

    async def _send_until_taken(self, request: StatementRequest, port: _SinkPort | None) -> Outcome:
        """Try homes until one takes the request; what may have run is not sent again."""
        port = port or _SinkPort(NullSink())
        while True:
            home = self._home_for(request)
            if home is not None:
                self._home = home
                try:
                    outcome = await self._service.send(request, home, port)
                except PeerUnavailable as lost:
                    self._channel = self._service.next_channel()
                    request = replace(
                        request,
                        number=self._service.next_number(),
                        channel=ChannelKey(_LOCAL_ORIGIN, self._channel),
                    )
                    failed = after_link_loss(
                        request,
                        sent=lost.sent,
                        delivered=port.delivered,
                        now=self._loop.time(),
                    )
                    if failed is not None:
                        return failed
                else:
                    if not _moved(outcome):
                        return outcome
            if not retry_home(self._loop.time(), request.expires_at):
                error = RequestError(ErrorKind.NO_HOME, "no proxy serves this database now")
                return Outcome(request.number, error=error)
            await asyncio.sleep(HOME_RETRY_SECONDS)

    def _home_for(self, request: StatementRequest) -> Home | None:
        """A transaction stays with the home that holds its connection."""
        if request.in_transaction:
            return self._home
        return self._service.router.home(request.database)

    def cancel(self) -> None:
        """Pass a cancel request on."""
        if self._home is not None:
            self._service.cancel(self._home, self._channel)

    def mark_failed(self) -> None:
        """An error was answered without reaching the home."""
        self.session.mark_failed()

    async def close(self) -> None:
        """The caller has gone."""
        if self._home is not None:
            self._service.close_channel(self._home, self._channel)


def _moved(outcome: Outcome) -> bool:
    return outcome.error is not None and outcome.error.kind is ErrorKind.NO_HOME


async def _answer_locally(answer: LocalAnswer, sink: ResultSink) -> None:
    if answer.column:
        await sink.columns((Column(answer.column, _TEXT_OID),))
        await sink.rows(message_codec.make_data_row([answer.value.encode()]), 1)
    await sink.complete(answer.tag)

"""One caller's session at its front proxy: plans each statement and sends it to a home.

Owns the channel of the session and the home that holds its transaction. Relies on
`core/caller_session.py` to classify statements and on `core/retries.py` to decide which requests
may be sent again.
"""

from __future__ import annotations

import asyncio
from dataclasses import replace

from orchidwind.elected.core.caller_session import (
    AskToken,
    CallerSession,
    Forward,
    LocalAnswer,
    Plan,
)
from orchidwind.elected.core.retries import HOME_RETRY_SECONDS, after_link_loss, retry_home
from orchidwind.elected.core.statements import (
    ChannelKey,
    Column,
    Outcome,
    RequestKind,
    StatementRequest,
)
from orchidwind.elected.network.front import LOCAL_ORIGIN, FrontService, Home
from orchidwind.elected.network.sink_port import SinkPort
from orchidwind.elected.postgres.executor import (
    Description,
    Executor,
    NullSink,
    ResultSink,
    SessionParameters,
    Statement,
)
from orchidwind.elected.postgres.wire import codec
from orchidwind.shared.core.errors import ErrorKind, PeerUnavailable, RequestError

# PostgreSQL's type identifier of `text` (pg_type).
_TEXT_OID = 25


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
        """Run a statement locally or at the home; raises RequestError if it fails."""
        plan = self.session.plan(statement.sql)
        if isinstance(plan, LocalAnswer):
            await _answer_locally(plan, sink)
            return
        if isinstance(plan, AskToken):
            outcome = await self._request(RequestKind.TOKEN, statement, Forward(RequestKind.TOKEN))
            token = str(max(outcome.position, self.session.floor.position))
            await _answer_locally(LocalAnswer("SHOW", "orchidwind.session_token", token), sink)
            return
        port = SinkPort(sink)
        if plan.sql:
            statement = replace(statement, sql=plan.sql)
        outcome = await self._request(plan.kind, statement, plan, port)
        await sink.complete(outcome.tag)

    async def describe(self, sql: str, parameter_types: tuple[int, ...]) -> Description:
        """Return the parameter and column types of a statement; raises RequestError."""
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
        port: SinkPort | None = None,
    ) -> Outcome:
        started = self._loop.time()
        traffic_class = self._service.router.traffic_class(
            self._parameters.user, self._parameters.application_name, plan.traffic_tag
        )
        request = StatementRequest(
            number=self._service.next_number(),
            channel=ChannelKey(LOCAL_ORIGIN, self._channel),
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
        outcome = await self._send_until_accepted(request, port)
        self.session.finished(outcome)
        if self._service.observer is not None:
            elapsed = self._loop.time() - started
            self._service.observer.finished(kind, traffic_class.name, outcome, elapsed)
        if outcome.error is not None:
            raise outcome.error
        return outcome

    async def _send_until_accepted(
        self, request: StatementRequest, port: SinkPort | None
    ) -> Outcome:
        """Try homes until one accepts the request or the deadline nears, and return the outcome.

        A request that may have run is not sent again.
        """
        port = port or SinkPort(NullSink())
        while True:
            home = self._home_for(request)
            if home is not None:
                self._home = home
                try:
                    outcome = await self._service.send(request, home, port)
                except PeerUnavailable as lost:
                    request = self._renumbered(request)
                    failed = after_link_loss(
                        request,
                        sent=lost.sent,
                        delivered=port.delivered,
                        now=self._loop.time(),
                    )
                    if failed is not None:
                        return failed
                else:
                    if not _home_moved(outcome):
                        return outcome
            if not retry_home(self._loop.time(), request.expires_at):
                error = RequestError(ErrorKind.NO_HOME, "no proxy serves this database now")
                return Outcome(request.number, error=error)
            await asyncio.sleep(HOME_RETRY_SECONDS)

    def _renumbered(self, request: StatementRequest) -> StatementRequest:
        """Return the request with new numbers, which the unreachable home has not seen."""
        self._channel = self._service.next_channel()
        return replace(
            request,
            number=self._service.next_number(),
            channel=ChannelKey(LOCAL_ORIGIN, self._channel),
        )

    def _home_for(self, request: StatementRequest) -> Home | None:
        """Return the home for a request, or None if no proxy serves the database.

        A transaction stays with the home that holds its server connection.
        """
        if request.in_transaction:
            return self._home
        return self._service.router.home(request.database)

    def cancel(self) -> None:
        """Forward a cancel request to the home."""
        if self._home is not None:
            self._service.cancel(self._home, self._channel)

    def mark_failed(self) -> None:
        """Record that a statement was answered with an error without being sent to the home."""
        self.session.mark_failed()

    async def close(self) -> None:
        """Release the channel at the home after the caller has disconnected."""
        if self._home is not None:
            self._service.close_channel(self._home, self._channel)


def _home_moved(outcome: Outcome) -> bool:
    return outcome.error is not None and outcome.error.kind is ErrorKind.NO_HOME


async def _answer_locally(answer: LocalAnswer, sink: ResultSink) -> None:
    if answer.column:
        await sink.columns((Column(answer.column, _TEXT_OID),))
        await sink.rows(codec.make_data_row([answer.value.encode()]), 1)
    await sink.complete(answer.tag)

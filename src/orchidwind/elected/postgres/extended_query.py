"""The extended query protocol of one session: Parse, Bind, Describe, Execute and Close messages.

Holds the messages received since the last Sync, and the caller's named statements and portals.
"""

from __future__ import annotations

from collections.abc import Callable

from orchidwind.elected.postgres import wire
from orchidwind.elected.postgres.executor import Description, Executor, NullSink, Statement
from orchidwind.elected.postgres.output import OutputBuffer, PortalSink, StreamSink
from orchidwind.elected.postgres.portals import Portal, PortalTable
from orchidwind.elected.postgres.wire import codec
from orchidwind.shared.core.errors import RequestError

# Limits the memory for messages that wait for a Sync or Flush.
_MAXIMUM_BATCH_MESSAGES = 20_000
EXTENDED_TAGS = frozenset(
    (codec.PARSE, codec.BIND, codec.DESCRIBE, codec.EXECUTE, codec.CLOSE),
)


class ExtendedQuery:
    """Queues extended-query messages and runs them at the next Sync or Flush."""

    def __init__(
        self,
        executor: Executor,
        out: OutputBuffer,
        answer_error: Callable[[RequestError], None],
    ) -> None:
        self._executor = executor
        self._out = out
        self._answer_error = answer_error
        self._portals = PortalTable()
        self._batch: list[tuple[bytes, bytes]] = []
        self._skip_until_sync = False

    @property
    def has_pending_messages(self) -> bool:
        """Whether messages are queued that have not run yet."""
        return bool(self._batch)

    def add(self, tag: bytes, body: bytes) -> None:
        """Queue a message; raises ProtocolViolation if too many are queued."""
        self._batch.append((tag, body))
        if len(self._batch) > _MAXIMUM_BATCH_MESSAGES:
            raise wire.ProtocolViolation("too many messages without Sync")

    def on_ready_for_query(self) -> None:
        """Stop skipping messages after an error; drop portals outside a transaction.

        Called before each ReadyForQuery message.
        """
        self._skip_until_sync = False
        if self._executor.transaction_status == wire.TRANSACTION_IDLE:
            self._portals.end_transaction()

    async def run(self, at_sync: bool) -> None:
        """Run the queued messages; `at_sync` is False for a Flush.

        Several Execute messages before one Sync form one implicit transaction (PostgreSQL manual,
        "Extended Query"), so they are wrapped in an explicit one.
        """
        batch, self._batch = self._batch, []
        if self._skip_until_sync:
            return
        executions = sum(1 for tag, _ in batch if tag == codec.EXECUTE)
        implicit = (
            at_sync
            and executions > 1
            and self._executor.transaction_status == wire.TRANSACTION_IDLE
        )
        try:
            if implicit:
                await self._run_control("BEGIN")
            for index, (tag, body) in enumerate(batch):
                following = batch[index + 1] if index + 1 < len(batch) else None
                await self._handle_message(tag, body, following)
            if implicit:
                await self._run_control("COMMIT")
        except RequestError as error:
            self._skip_until_sync = not at_sync
            self._answer_error(error)
            if implicit and self._executor.transaction_status != wire.TRANSACTION_IDLE:
                await self._run_control("ROLLBACK")

    async def _run_control(self, sql: str) -> None:
        await self._executor.execute(Statement(sql, simple=True), NullSink())

    async def _handle_message(
        self, tag: bytes, body: bytes, following: tuple[bytes, bytes] | None
    ) -> None:
        if tag == codec.PARSE:
            self._portals.parse(body)
            self._out.add(codec.make_parse_complete())
        elif tag == codec.BIND:
            self._portals.bind(body)
            self._out.add(codec.make_bind_complete())
        elif tag == codec.DESCRIBE:
            if not self._defer_describe(body, following):
                await self._describe(body)
        elif tag == codec.EXECUTE:
            await self._execute(body)
        else:
            self._portals.close(body)
            self._out.add(codec.make_close_complete())

    def _defer_describe(self, body: bytes, following: tuple[bytes, bytes] | None) -> bool:
        """Leave the description of a portal to the Execute message that follows, if there is one.

        The result then supplies the columns, without a separate call of `Executor.describe`.
        Returns whether the description was left to it.
        """
        target = codec.parse_describe(body)
        if target.kind != codec.TARGET_PORTAL or following is None:
            return False
        tag, execute = following
        if tag != codec.EXECUTE or codec.parse_execute(execute).portal_name != target.name:
            return False
        portal = self._portals.portal(target.name)
        if portal.started or codec.parse_execute(execute).max_rows > 0:
            return False
        portal.describe_on_execute = True
        return True

    async def _describe(self, body: bytes) -> None:
        target = codec.parse_describe(body)
        is_statement = target.kind == codec.TARGET_STATEMENT
        formats: tuple[int, ...] = ()
        if is_statement:
            prepared = self._portals.statement(target.name)
        else:
            portal = self._portals.portal(target.name)
            prepared, formats = portal.prepared, portal.result_formats
        if prepared.description is None:
            prepared.description = await self._executor.describe(
                prepared.sql, prepared.parameter_types
            )
        self._out.add(_encode_description(prepared.description, is_statement, formats))

    async def _execute(self, body: bytes) -> None:
        execute = codec.parse_execute(body)
        portal = self._portals.portal(execute.portal_name)
        if execute.max_rows > 0 or portal.started:
            await self._execute_limited(portal, execute.max_rows)
            return
        describe, portal.describe_on_execute = portal.describe_on_execute, False
        sink = StreamSink(self._out, portal.result_formats, describe, no_data=describe)
        await self._executor.execute(portal.statement, sink)

    async def _execute_limited(self, portal: Portal, limit: int) -> None:
        if not portal.started:
            portal.started = True
            await self._executor.execute(portal.statement, PortalSink(portal))
        count = limit if limit > 0 else len(portal.remaining_rows)
        part, portal.remaining_rows = portal.remaining_rows[:count], portal.remaining_rows[count:]
        self._out.add(b"".join(part))
        await self._out.flush_if_full()
        if portal.remaining_rows:
            self._out.add(codec.make_portal_suspended())
        elif portal.command_tag:
            self._out.add(codec.make_command_complete(portal.command_tag))
        else:
            self._out.add(codec.make_empty_query_response())


def _encode_description(
    description: Description, is_statement: bool, formats: tuple[int, ...]
) -> bytes:
    encoded = b""
    if is_statement:
        encoded = codec.make_parameter_description(list(description.parameter_types))
    if description.columns:
        return encoded + wire.row_description(description.columns, formats)
    return encoded + codec.make_no_data()

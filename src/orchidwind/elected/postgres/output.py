"""Writes results to a caller: through a buffer, or kept in a portal for limited Execute messages.

A caller that reads slowly delays further rows once the output buffer is full.
"""

from __future__ import annotations

from tornado.iostream import IOStream

from orchidwind.elected.postgres import wire
from orchidwind.elected.postgres.executor import ResultSink
from orchidwind.elected.postgres.portals import Portal
from orchidwind.elected.postgres.wire import Column, codec
from orchidwind.shared.core.errors import ErrorKind, RequestError

# Buffered bytes at which the buffer is sent before more rows are accepted; limits memory.
_WRITE_HIGH_WATER_BYTES = 256 * 1024
# Rows that a portal with a row limit may hold; limits memory.
_MAXIMUM_PORTAL_ROWS = 10_000


class OutputBuffer:
    """Buffers messages for a caller, so that a response takes few writes."""

    def __init__(self, stream: IOStream) -> None:
        self._stream = stream
        self._data = bytearray()

    def add(self, message: bytes) -> None:
        """Add a message to the buffer."""
        self._data += message

    async def flush_if_full(self) -> None:
        """Send the buffer if it exceeds its limit, and wait until the write completes."""
        if len(self._data) >= _WRITE_HIGH_WATER_BYTES:
            await self.flush()

    async def flush(self) -> None:
        """Send the buffer and wait until the write completes."""
        if self._data:
            await self._stream.write(self._drain())

    def flush_now(self) -> None:
        """Send the buffer without waiting; does nothing on a closed stream."""
        if self._data and not self._stream.closed():
            self._stream.write(self._drain())

    def _drain(self) -> bytes:
        data = bytes(self._data)
        self._data.clear()
        return data


class StreamSink(ResultSink):
    """Passes a result on to the caller as it arrives.

    With `describe`, RowDescription is written before the rows. With `no_data`, NoData is written if
    the result has no columns, as the response to a Describe message requires.
    """

    def __init__(
        self, out: OutputBuffer, formats: tuple[int, ...], describe: bool, no_data: bool = False
    ) -> None:
        self._out = out
        self._formats = formats
        self._describe = describe
        self._no_data = no_data

    async def columns(self, columns: tuple[Column, ...]) -> None:
        """Write RowDescription if it was requested."""
        self._no_data = False
        if self._describe:
            self._out.add(wire.row_description(columns, self._formats))

    async def rows(self, encoded: bytes, count: int) -> None:
        """Write rows; waits if the buffer is full."""
        self._out.add(encoded)
        await self._out.flush_if_full()

    async def complete(self, command_tag: str) -> None:
        """Write CommandComplete or EmptyQueryResponse."""
        if self._no_data:
            self._out.add(codec.make_no_data())
        if command_tag:
            self._out.add(codec.make_command_complete(command_tag))
        else:
            self._out.add(codec.make_empty_query_response())


class PortalSink(ResultSink):
    """Keeps a bounded result in a portal, for Execute messages with a row limit."""

    def __init__(self, portal: Portal) -> None:
        self._portal = portal

    async def columns(self, columns: tuple[Column, ...]) -> None:
        """Discard the column descriptions: Execute does not send them."""

    async def rows(self, encoded: bytes, count: int) -> None:
        """Keep the rows; raises RequestError if the portal would hold too many."""
        self._portal.remaining_rows.extend(split_messages(encoded))
        if len(self._portal.remaining_rows) > _MAXIMUM_PORTAL_ROWS:
            raise RequestError(
                ErrorKind.NOT_SUPPORTED,
                f"a portal with a row limit may hold {_MAXIMUM_PORTAL_ROWS} rows at most",
            )

    async def complete(self, command_tag: str) -> None:
        """Keep the command tag; it is sent after the last rows."""
        self._portal.command_tag = command_tag


def split_messages(encoded: bytes) -> list[bytes]:
    """Split concatenated protocol messages into single ones."""
    messages = []
    offset = 0
    while offset < len(encoded):
        end = offset + 1 + int.from_bytes(encoded[offset + 1 : offset + 5], "big")
        messages.append(encoded[offset:end])
        offset = end
    return messages

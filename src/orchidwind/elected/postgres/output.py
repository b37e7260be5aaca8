"""Writes answers to a caller: gathered in a buffer, as they come, or held for a portal.

Owns: what is not sent yet. Relies on: a caller that reads; one that does not is held back by the
size of the buffer.
"""

from __future__ import annotations

from tornado.iostream import IOStream

from orchidwind.elected.postgres import wire
from orchidwind.elected.postgres.executor import ResultSink
from orchidwind.elected.postgres.portals import Portal
from orchidwind.elected.postgres.wire import Column, codec
from orchidwind.shared.core.errors import ErrorKind, RequestError

# Bytes for a caller that wait before more rows are taken; bounds memory.
_WRITE_HIGH_WATER_BYTES = 256 * 1024
# Rows that a portal fetched in parts may hold; bounds memory.
_SUSPENDED_ROWS_LIMIT = 10_000


class OutputBuffer:
    """Gathers messages for a caller, so that an answer leaves in few writes."""

    def __init__(self, stream: IOStream) -> None:
        self._stream = stream
        self._data = bytearray()

    def add(self, message: bytes) -> None:
        """Gather a message."""
        self._data += message

    async def make_room(self) -> None:
        """Send what was gathered once it is much; wait while the caller reads slowly."""
        if len(self._data) >= _WRITE_HIGH_WATER_BYTES:
            await self.flush()

    async def flush(self) -> None:
        """Send what was gathered."""
        if self._data:
            await self._stream.write(self._take())

    def flush_now(self) -> None:
        """Send what was gathered without waiting."""
        if self._data and not self._stream.closed():
            self._stream.write(self._take())

    def _take(self) -> bytes:
        data = bytes(self._data)
        self._data.clear()
        return data


class StreamSink(ResultSink):
    """Passes an answer on to the caller as it comes.

    `describe` writes the columns before the rows; `no_data` says so where there are none, as a
    Describe message wants.
    """

    def __init__(
        self, out: OutputBuffer, formats: tuple[int, ...], describe: bool, no_data: bool = False
    ) -> None:
        self._out = out
        self._formats = formats
        self._describe = describe
        self._no_data = no_data

    async def columns(self, columns: tuple[Column, ...]) -> None:
        """Write RowDescription where the protocol asks for it."""
        self._no_data = False
        if self._describe:
            self._out.add(wire.row_description(columns, self._formats))

    async def rows(self, encoded: bytes, count: int) -> None:
        """Pass rows on."""
        self._out.add(encoded)
        await self._out.make_room()

    async def complete(self, command_tag: str) -> None:
        """Write CommandComplete or EmptyQueryResponse."""
        if self._no_data:
            self._out.add(codec.make_no_data())
        if command_tag:
            self._out.add(codec.make_command_complete(command_tag))
        else:
            self._out.add(codec.make_empty_query_response())


class PortalSink(ResultSink):
    """Keeps a bounded result, of which a limited Execute sends only a part."""

    def __init__(self, portal: Portal) -> None:
        self._portal = portal

    async def columns(self, columns: tuple[Column, ...]) -> None:
        """Execute does not describe."""

    async def rows(self, encoded: bytes, count: int) -> None:
        """Keep rows up to the bound."""
        self._portal.rest.extend(split_messages(encoded))
        if len(self._portal.rest) > _SUSPENDED_ROWS_LIMIT:
            raise RequestError(
                ErrorKind.NOT_SUPPORTED,
                f"a portal with a row limit may hold {_SUSPENDED_ROWS_LIMIT} rows at most",
            )

    async def complete(self, command_tag: str) -> None:
        """Keep the tag for the last part."""
        self._portal.command_tag = command_tag


def split_messages(encoded: bytes) -> list[bytes]:
    """Cut a run of messages into single ones."""
    messages = []
    offset = 0
    while offset < len(encoded):
        end = offset + 1 + int.from_bytes(encoded[offset + 1 : offset + 5], "big")
        messages.append(encoded[offset:end])
        offset = end
    return messages

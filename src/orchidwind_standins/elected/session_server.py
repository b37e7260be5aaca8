"""What a session of the stand-in database needs from its instance."""

from __future__ import annotations

import asyncio
from abc import ABC, abstractmethod
from typing import TYPE_CHECKING

from orchidwind_standins.elected.replication import Change, Instance
from orchidwind_standins.elected.sql_store import SqlStore

if TYPE_CHECKING:
    from orchidwind_standins.elected.sql_session import SqlSession


class SessionServer(ABC):
    """The interface of an instance to its SQL sessions."""

    instance: Instance
    store: SqlStore
    write_lock: asyncio.Lock

    @abstractmethod
    async def on_request(self, session: SqlSession) -> None:
        """Wait for network latency and partitions before a statement runs."""

    @abstractmethod
    async def on_response(self, session: SqlSession) -> None:
        """Wait for network latency and partitions before the response."""

    @abstractmethod
    def commit(self, transaction: int, changes: list[Change]) -> None:
        """Append a transaction to the log and send it to the replicas."""

    @abstractmethod
    def activity(self) -> str:
        """Return the process id and state of each session, as JSON."""

    @abstractmethod
    def session_closed(self, session: SqlSession) -> None:
        """Remove a session that was closed."""

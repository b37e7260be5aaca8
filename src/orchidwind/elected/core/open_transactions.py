"""The open transactions at a home proxy, by the channel of their session.

Owns which server connection is bound to which session. Times are in seconds of the home proxy's
monotonic clock.
"""

from __future__ import annotations

from orchidwind.elected.core.statements import ChannelKey
from orchidwind.elected.core.steps import BindTransaction, OpenTransaction


class OpenTransactions:
    """Transactions that have begun and not yet ended."""

    def __init__(self, idle_seconds: float) -> None:
        """Transactions count as idle after `idle_seconds` without a new statement."""
        self.by_channel: dict[ChannelKey, OpenTransaction] = {}
        self._idle_seconds = idle_seconds

    def __len__(self) -> int:
        return len(self.by_channel)

    def __contains__(self, channel: ChannelKey) -> bool:
        return channel in self.by_channel

    def bind(self, now: float, channel: ChannelKey, step: BindTransaction) -> None:
        """Bind a connection to a session whose transaction has begun."""
        self.by_channel[channel] = OpenTransaction(
            step.connection, step.instance, step.term, step.read_only, last_used=now
        )

    def use(self, now: float, channel: ChannelKey) -> OpenTransaction | None:
        """The session's transaction, whose idle time restarts; None if it has none."""
        transaction = self.by_channel.get(channel)
        if transaction is not None:
            transaction.last_used = now
        return transaction

    def end(self, channel: ChannelKey) -> OpenTransaction | None:
        """Remove and return the session's transaction; None if it has none."""
        return self.by_channel.pop(channel, None)

    def connection_lost(self, connection: int) -> None:
        """Remove the transaction that is bound to a lost connection, if any."""
        for channel, transaction in list(self.by_channel.items()):
            if transaction.connection == connection:
                del self.by_channel[channel]

    def idle(self, now: float) -> list[ChannelKey]:
        """Sessions whose last statement in a transaction began `idle_seconds` ago or earlier."""
        return [
            channel
            for channel, transaction in self.by_channel.items()
            if now >= transaction.last_used + self._idle_seconds
        ]

    def deadline(self) -> float:
        """When the next transaction counts as idle, infinity if none is open."""
        due = (item.last_used + self._idle_seconds for item in self.by_channel.values())
        return min(due, default=float("inf"))

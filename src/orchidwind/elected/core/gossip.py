"""Spreads membership news and the configuration version to the other members.

News is piggybacked on probes and their answers, each item a bounded number of times, so that a
node's cost does not grow with the number of members. Urgent news is also sent to some members at
once, and from time to time two members exchange their full member lists. Each message carries the
version of the configuration in force at its sender. Owns that version and the news still to be
sent; relies on the member table.
"""

from __future__ import annotations

import math
import random
from collections.abc import Iterable
from dataclasses import dataclass

from orchidwind.elected.core.member_table import Member, MemberTable, News
from orchidwind.elected.core.membership_messages import (
    Exchange,
    MembershipEffect,
    MembershipMessage,
    SendDatagram,
)
from orchidwind.elected.core.membership_settings import MembershipSettings


@dataclass(slots=True)
class _QueuedUpdate:
    member: Member
    sends_left: int


class Gossip:
    """Sends one node's news; datagrams are appended to the effects of `Membership`."""

    def __init__(
        self,
        table: MemberTable,
        seeds: Iterable[tuple[str, int]],
        generator: random.Random,
        settings: MembershipSettings,
        effects: list[MembershipEffect],
    ) -> None:
        """`seeds` are the addresses (host, gossip port) contacted at the start."""
        self.configuration_version = 0
        self.seeds = list(seeds)
        self.next_exchange = 0.0
        self._table = table
        self._random = generator
        self._settings = settings
        self._effects = effects
        self._queued: dict[str, _QueuedUpdate] = {}

    def spread(self, news: News | None) -> None:
        """Queue news for the next messages; urgent news is also announced at once.

        The announcement carries no update for the node's own entry: each message contains it as
        the sender.
        """
        if news is None:
            return
        times = math.ceil(self._settings.spread_factor * math.log2(len(self._table.members) + 1))
        self._queued[news.member.name] = _QueuedUpdate(news.member, times)
        if news.urgent:
            self.announce(() if news.member is self._table.own else (news.member,))

    def updates(self) -> tuple[Member, ...]:
        """The updates for the next message: the news that has been sent the fewest times."""
        chosen = sorted(self._queued.values(), key=lambda item: -item.sends_left)
        chosen = chosen[: self._settings.max_updates_per_message]
        for item in chosen:
            item.sends_left -= 1
            if item.sends_left <= 0:
                del self._queued[item.member.name]
        return tuple(item.member for item in chosen)

    def announce(self, updates: tuple[Member, ...] = ()) -> None:
        """Send to some random members at once; a member that learns urgent news does the same.

        On probes alone such news took several periods to reach all members, while callers waited
        for home proxies that were gone.
        """
        others = self._table.others()
        count = min(self._settings.urgent_fanout, len(others))
        for member in self._random.sample(others, count):
            self.inform(member, updates)

    def inform(self, member: Member, updates: tuple[Member, ...]) -> None:
        """Send updates to one member without asking for an answer."""
        self.send(member, Exchange(self._table.own, False, self.configuration_version, updates))

    def start(self, now: float) -> None:
        """Ask the seeds for their member lists."""
        self.next_exchange = now + self._random.uniform(1, 2)
        for host, port in self.seeds:
            self.exchange_with(host, port, wants_answer=True)

    def exchange_with_random_members(self, now: float) -> None:
        """Exchange lists with a random member and seed, or with all seeds if no member is known."""
        jitter = self._random.uniform(0.5, 1.5)
        self.next_exchange = now + self._settings.exchange_interval * jitter
        others = self._table.others()
        seeds = self.seeds
        if others:
            chosen = self._random.choice(others)
            self.exchange_with(chosen.host, chosen.gossip_port, wants_answer=True)
            seeds = self._random.sample(self.seeds, min(1, len(self.seeds)))
        else:
            self.next_exchange = now + self._settings.period
        for host, port in seeds:
            self.exchange_with(host, port, wants_answer=True)

    def exchange_with(self, host: str, port: int, wants_answer: bool) -> None:
        """Send the full member list to an address, in parts.

        With `wants_answer` the first part asks for the recipient's list.
        """
        known = list(self._table.members.values())
        part = self._settings.members_per_datagram
        for start in range(0, len(known), part):
            message = Exchange(
                self._table.own,
                wants_answer and start == 0,
                self.configuration_version,
                tuple(known[start : start + part]),
            )
            self._effects.append(SendDatagram(host, port, message))

    def send(self, member: Member, message: MembershipMessage) -> None:
        """Send a message to a member."""
        self._effects.append(SendDatagram(member.host, member.gossip_port, message))

"""How news of members, and the version of the configuration, reach the other members.

News travels on the probes and their answers, each a bounded number of times, so that a node's cost
does not grow with the number of members; urgent news is sent to some members at once; and now and
then two members exchange their whole lists. Each message carries the version of the configuration
in force at its sender. Owns what is still to be spread and that version; relies on the table of
members.
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
class _Spreading:
    member: Member
    times_left: int


class Gossip:
    """Sends what one node knows; datagrams are appended to the membership's effects."""

    def __init__(
        self,
        table: MemberTable,
        seeds: Iterable[tuple[str, int]],
        generator: random.Random,
        settings: MembershipSettings,
        effects: list[MembershipEffect],
    ) -> None:
        """`seeds` are addresses (host, gossip port) to ask first."""
        self.configuration_version = 0
        self.seeds = list(seeds)
        self.next_exchange = 0.0
        self._table = table
        self._random = generator
        self._settings = settings
        self._effects = effects
        self._spreading: dict[str, _Spreading] = {}

    def spread(self, news: News | None) -> None:
        """Let news travel on the next messages; what is urgent is announced as well.

        The node's own entry is the sender of each message, and needs no update of its own there.
        """
        if news is None:
            return
        times = math.ceil(self._settings.spread_factor * math.log2(len(self._table.members) + 1))
        self._spreading[news.member.name] = _Spreading(news.member, times)
        if news.urgent:
            self.announce(() if news.member is self._table.own else (news.member,))

    def updates(self) -> tuple[Member, ...]:
        """What the next message carries: the news that has travelled least."""
        chosen = sorted(self._spreading.values(), key=lambda item: -item.times_left)
        chosen = chosen[: self._settings.updates_a_message]
        for item in chosen:
            item.times_left -= 1
            if item.times_left <= 0:
                del self._spreading[item.member.name]
        return tuple(item.member for item in chosen)

    def announce(self, updates: tuple[Member, ...] = ()) -> None:
        """Send to some members at once; whoever first learns urgent news does the same.

        Left to the probes alone, such news took several periods to reach all, while callers waited
        for homes that were gone.
        """
        others = self._table.others()
        count = min(self._settings.announce_fanout, len(others))
        for member in self._random.sample(others, count):
            self.inform(member, updates)

    def inform(self, member: Member, updates: tuple[Member, ...]) -> None:
        """Send these updates to one member, and ask for nothing."""
        self.send(member, Exchange(self._table.own, False, self.configuration_version, updates))

    def start(self, now: float) -> None:
        """Ask the seeds for their lists."""
        self.next_exchange = now + self._random.uniform(1, 2)
        for host, port in self.seeds:
            self.exchange_with(host, port, wants_answer=True)

    def exchange_at_random(self, now: float) -> None:
        """Exchange lists with one member and one seed; with all seeds while nobody is known."""
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
        """Send the whole list, in parts, to an address; one of them asks for the other's list."""
        known = list(self._table.members.values())
        part = self._settings.exchange_part
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

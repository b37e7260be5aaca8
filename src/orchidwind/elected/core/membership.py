"""Membership by probing and gossip (after SWIM: Das, Gupta, Motivala 2002), with a leaving flag.

Has no I/O and no clock: events come in with the time, in seconds of the node's monotonic clock, and
effects are returned. Owns when a member becomes suspected; connects the member table
(`member_table.py`), the probes (`probing.py`) and the spreading of news (`gossip.py`).
"""

from __future__ import annotations

import random
from collections.abc import Iterable
from dataclasses import replace

from orchidwind.elected.core.gossip import Gossip
from orchidwind.elected.core.member_table import Member, MemberState, MemberTable
from orchidwind.elected.core.membership_messages import (
    MembershipEffect,
    MembershipMessage,
    PeerVersion,
    Probe,
    ProbeAnswer,
    ProbeRequest,
    ViewChanged,
)
from orchidwind.elected.core.membership_settings import MembershipSettings
from orchidwind.elected.core.probing import Prober


class Membership:
    """One node's view of all members."""

    def __init__(
        self,
        own: Member,
        seeds: Iterable[tuple[str, int]],
        generator: random.Random,
        settings: MembershipSettings | None = None,
    ) -> None:
        """`seeds` are the addresses (host, gossip port) contacted at the start."""
        settings = settings or MembershipSettings()
        self.suspicions = 0
        self._settings = settings
        self._effects: list[MembershipEffect] = []
        self._table = MemberTable(own, settings)
        self._gossip = Gossip(self._table, seeds, generator, settings, self._effects)
        self._prober = Prober(self._table, self._gossip, generator, settings)

    # --- queries ------------------------------------------------------------------------------

    @property
    def members(self) -> dict[str, Member]:
        """All known members by name, including dead ones until they are forgotten."""
        return self._table.members

    @property
    def seeds(self) -> list[tuple[str, int]]:
        """The addresses contacted at the start."""
        return self._gossip.seeds

    def usable(self) -> list[Member]:
        """Members that may be homes: alive or suspected, and not leaving."""
        return self._table.usable()

    def reachable(self) -> list[Member]:
        """Members that are not dead, including those that are leaving."""
        return self._table.reachable()

    # --- events -------------------------------------------------------------------------------

    def start(self, now: float) -> list[MembershipEffect]:
        """Start probing, and ask the seeds for their member lists."""
        self._prober.start(now)
        self._gossip.start(now)
        return self._take_effects()

    def add_seeds(self, seeds: Iterable[tuple[str, int]]) -> list[MembershipEffect]:
        """Ask the addresses that belong to no known member for their member lists."""
        known = {(member.host, member.gossip_port) for member in self.members.values()}
        for address in seeds:
            if address not in known:
                self._gossip.exchange_with(*address, wants_answer=True)
        return self._take_effects()

    def leave(self) -> list[MembershipEffect]:
        """Announce that this node is leaving, so that it is no longer placed as a home."""
        self._gossip.spread(self._table.leave())
        return self._take_effects()

    def set_configuration_version(self, version: int) -> list[MembershipEffect]:
        """Store the version in force at this node, and announce a higher one at once."""
        if version > self._gossip.configuration_version:
            self._gossip.configuration_version = version
            self._gossip.announce()
        return self._take_effects()

    def receive(self, now: float, message: MembershipMessage) -> list[MembershipEffect]:
        """Process a message from another member."""
        self._gossip.spread(self._table.learn(now, message.sender, from_itself=True))
        for member in message.updates:
            self._gossip.spread(self._table.learn(now, member))
        self._effects.append(PeerVersion(message.sender.name, message.configuration_version))
        if isinstance(message, Probe):
            self._prober.on_probe(message)
        elif isinstance(message, ProbeAnswer):
            self._prober.on_answer(message)
        elif isinstance(message, ProbeRequest):
            self._prober.on_request(now, message)
        elif message.wants_answer:
            sender = message.sender
            self._gossip.exchange_with(sender.host, sender.gossip_port, wants_answer=False)
        return self._take_effects()

    def tick(self, now: float) -> list[MembershipEffect]:
        """Process everything that is due at `now`."""
        for news in self._table.expire_suspects(now):
            self._gossip.spread(news)
        self._table.forget_dead(now)
        self._prober.expire_relayed(now)
        self._prober.probe_indirectly_if_due(now)
        if now >= self._prober.next_probe:
            self._begin_period(now)
        if now >= self._gossip.next_exchange:
            self._gossip.exchange_with_random_members(now)
        return self._take_effects()

    def deadline(self) -> float:
        """When `tick` is next needed."""
        return min(self._prober.deadline(), self._gossip.next_exchange, self._table.deadline())

    def _begin_period(self, now: float) -> None:
        """Suspect the member that did not answer in the last period, and probe the next one."""
        self._prober.next_probe = now + self._settings.period
        unanswered = self._prober.pop_unanswered()
        if unanswered is not None:
            self._suspect(now, unanswered)
        self._prober.probe_next(now)

    def _suspect(self, now: float, name: str) -> None:
        member = self.members.get(name)
        if member is None or member.state != MemberState.ALIVE:
            return
        self.suspicions += 1
        suspected = replace(member, state=MemberState.SUSPECT)
        self._gossip.spread(self._table.learn(now, suspected))
        # Inform the suspected member directly, since only the member itself can refute.
        self._gossip.inform(member, (suspected,))

    def _take_effects(self) -> list[MembershipEffect]:
        if self._table.pop_changed():
            self._effects.append(ViewChanged())
        effects = list(self._effects)
        self._effects.clear()
        return effects

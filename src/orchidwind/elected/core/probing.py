"""Failure detection: probes one member per period, directly and then through other members.

Follows SWIM: if the probed member does not answer directly, other members are asked to probe it.
Owns the probe in progress and the probes relayed for other members. Relies on the member table and
on gossip, whose updates are piggybacked on probes and answers. Times are in seconds of the node's
monotonic clock.
"""

from __future__ import annotations

import random
from dataclasses import dataclass

from orchidwind.elected.core.gossip import Gossip
from orchidwind.elected.core.member_table import Member, MemberState, MemberTable
from orchidwind.elected.core.membership_messages import Probe, ProbeAnswer, ProbeRequest
from orchidwind.elected.core.membership_settings import MembershipSettings


@dataclass(slots=True)
class _OwnProbe:
    target: str
    sequence: int
    answer_due_at: float
    indirect: bool = False


@dataclass(slots=True)
class _RelayedProbe:
    requester: str
    sequence: int
    expires_at: float


class Prober:
    """Probes members in turn."""

    def __init__(
        self,
        table: MemberTable,
        gossip: Gossip,
        generator: random.Random,
        settings: MembershipSettings,
    ) -> None:
        self.next_probe = 0.0
        self._table = table
        self._gossip = gossip
        self._random = generator
        self._settings = settings
        self._own_probe: _OwnProbe | None = None
        self._relayed: dict[int, _RelayedProbe] = {}
        self._sequence = generator.randrange(1 << 30)
        self._order: list[str] = []

    def start(self, now: float) -> None:
        """Start at a random time in the first period, so that nodes do not probe in lockstep."""
        self.next_probe = now + self._random.uniform(0, self._settings.period)

    def deadline(self) -> float:
        """When the next direct probe, or the indirect probes of the current target, are due."""
        probe = self._own_probe
        if probe is None or probe.indirect:
            return self.next_probe
        return min(self.next_probe, probe.answer_due_at)

    def probe_indirectly_if_due(self, now: float) -> None:
        """Start indirect probes if the target has not answered the direct probe in time."""
        probe = self._own_probe
        if probe is not None and not probe.indirect and now >= probe.answer_due_at:
            self._probe_indirectly(probe)

    def pop_unanswered(self) -> str | None:
        """End the probe of the last period; the member that did not answer it, if any."""
        probe, self._own_probe = self._own_probe, None
        return None if probe is None else probe.target

    def probe_next(self, now: float) -> None:
        """Begin the probe of this period."""
        target = self._next_target()
        if target is None:
            return
        self._sequence += 1
        answer_due_at = now + self._settings.answer_timeout
        self._own_probe = _OwnProbe(target.name, self._sequence, answer_due_at)
        self._gossip.send(target, self._probe(self._sequence, ""))

    def on_probe(self, probe: Probe) -> None:
        """Answer a probe of this node."""
        self._answer(probe.sender, probe.sequence, self._table.own.name)

    def on_request(self, now: float, request: ProbeRequest) -> None:
        """Probe a third member on behalf of the requester; an unknown target is ignored."""
        target = self._table.members.get(request.target)
        if target is None:
            return
        self._sequence += 1
        expires_at = now + self._settings.period
        self._relayed[self._sequence] = _RelayedProbe(
            request.sender.name, request.sequence, expires_at
        )
        self._gossip.send(target, self._probe(self._sequence, request.sender.name))

    def on_answer(self, answer: ProbeAnswer) -> None:
        """Complete this node's own probe, or pass a relayed probe's answer to its requester."""
        relayed = self._relayed.pop(answer.sequence, None)
        if relayed is not None:
            requester = self._table.members.get(relayed.requester)
            if requester is not None:
                self._answer(requester, relayed.sequence, answer.subject)
            return
        if self._own_probe is not None and answer.sequence == self._own_probe.sequence:
            self._own_probe = None

    def expire_relayed(self, now: float) -> None:
        """Drop relayed probes that were not answered in time."""
        for sequence, relayed in list(self._relayed.items()):
            if now >= relayed.expires_at:
                del self._relayed[sequence]

    def _next_target(self) -> Member | None:
        """The next member to probe, None if there is no other live member.

        Members are probed in a random order that is reshuffled after each round, which bounds the
        time between two probes of a member.
        """
        own = self._table.own.name
        for _ in range(2):
            while self._order:
                member = self._table.members.get(self._order.pop())
                if member and member.name != own and member.state != MemberState.DEAD:
                    return member
            self._order = [name for name in self._table.members if name != own]
            self._random.shuffle(self._order)
        return None

    def _probe(self, sequence: int, on_behalf: str) -> Probe:
        gossip = self._gossip
        version = gossip.configuration_version
        return Probe(sequence, self._table.own, on_behalf, version, gossip.updates())

    def _probe_indirectly(self, probe: _OwnProbe) -> None:
        probe.indirect = True
        others = [member for member in self._table.others() if member.name != probe.target]
        count = min(self._settings.indirect_probes, len(others))
        for helper in self._random.sample(others, count):
            request = ProbeRequest(
                probe.sequence,
                self._table.own,
                probe.target,
                self._gossip.configuration_version,
                self._gossip.updates(),
            )
            self._gossip.send(helper, request)

    def _answer(self, recipient: Member, sequence: int, subject: str) -> None:
        gossip = self._gossip
        version = gossip.configuration_version
        answer = ProbeAnswer(sequence, self._table.own, subject, version, gossip.updates())
        gossip.send(recipient, answer)

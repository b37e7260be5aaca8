"""Membership by probing and gossip (after SWIM: Das, Gupta, Motivala 2002), with a leaving mark.

Each period a node probes one member, directly and, without an answer, through others. A member
that does not answer is suspected, and after a time declared dead; it refutes a suspicion with a
higher incarnation. Changes travel on the probes themselves, so that a node's cost does not grow
with the number of members.
"""

from __future__ import annotations

import math
import random
from collections.abc import Iterable
from dataclasses import dataclass, field, replace
from enum import IntEnum, unique


@unique
class MemberState(IntEnum):
    """States in the order in which they override each other at one incarnation."""

    ALIVE = 0
    SUSPECT = 1
    DEAD = 2


@dataclass(frozen=True, slots=True)
class Member:
    """One proxy as the others know it."""

    name: str
    zone: str
    host: str
    peer_port: int
    gossip_port: int
    state: MemberState = MemberState.ALIVE
    incarnation: int = 0
    leaving: bool = False

    def overrides(self, other: Member) -> bool:
        """Whether this is newer knowledge than `other`."""
        return (self.incarnation, self.state) > (other.incarnation, other.state)


@dataclass(frozen=True, slots=True)
class Probe:
    """Asks for an acknowledgement; `on_behalf` names the node that asked for the probe."""

    sequence: int
    sender: Member
    on_behalf: str
    configuration_version: int
    updates: tuple[Member, ...]


@dataclass(frozen=True, slots=True)
class ProbeAnswer:
    """The acknowledgement of a probe; `subject` is the member that is alive."""

    sequence: int
    sender: Member
    subject: str
    configuration_version: int
    updates: tuple[Member, ...]


@dataclass(frozen=True, slots=True)
class ProbeRequest:
    """Asks a third member to probe `target`."""

    sequence: int
    sender: Member
    target: str
    configuration_version: int
    updates: tuple[Member, ...]


@dataclass(frozen=True, slots=True)
class Exchange:
    """A part of the whole member list; `wants_answer` asks for the other side's list."""

    sender: Member
    wants_answer: bool
    configuration_version: int
    updates: tuple[Member, ...]


MembershipMessage = Probe | ProbeAnswer | ProbeRequest | Exchange


@dataclass(frozen=True, slots=True)
class SendDatagram:
    """Send a message to an address."""

    host: str
    port: int
    message: MembershipMessage


@dataclass(frozen=True, slots=True)
class ViewChanged:
    """The set of usable members has changed."""


@dataclass(frozen=True, slots=True)
class PeerVersion:
    """A member told the version of the configuration that it has in force."""

    peer: str
    version: int


MembershipEffect = SendDatagram | ViewChanged | PeerVersion


@dataclass(frozen=True, slots=True)
class MembershipSettings:
    """Durations in seconds, and counts."""

    period: float = 1.0
    answer_timeout: float = 0.3
    indirect_probes: int = 3
    suspicion_periods: float = 2.0
    updates_a_message: int = 8
    spread_factor: float = 3.0
    exchange_interval: float = 30.0
    exchange_part: int = 16
    forget_dead_after: float = 120.0
    announce_fanout: int = 4


@dataclass(slots=True)
class _Spread:
    member: Member
    times_left: int


@dataclass(slots=True)
class _Probing:
    target: str
    sequence: int
    answer_due: float
    indirect: bool = False


@dataclass(slots=True)
class _Relay:
    requester: str
    sequence: int
    expires_at: float


@dataclass(slots=True)
class _Timers:
    next_probe: float = 0.0
    next_exchange: float = 0.0
    suspects: dict[str, float] = field(default_factory=dict)
    dead: dict[str, float] = field(default_factory=dict)


class Membership:
    """One node's view of all members."""

    def __init__(
        self,
        own: Member,
        seeds: Iterable[tuple[str, int]],
        generator: random.Random,
        settings: MembershipSettings | None = None,
    ) -> None:
        """`seeds` are addresses (host, gossip port) to ask first."""
        self.own = own
        self.members: dict[str, Member] = {own.name: own}
        self.settings = settings or MembershipSettings()
        self.configuration_version = 0
        self.suspicions = 0
        self.seeds = list(seeds)
        self._random = generator
        self._timers = _Timers()
        self._spreading: dict[str, _Spread] = {}
        self._probing: _Probing | None = None
        self._relays: dict[int, _Relay] = {}
        self._sequence = generator.randrange(1 << 30)
        self._order: list[str] = []
        self._effects: list[MembershipEffect] = []
        self._changed = False

    # --- what others ask ----------------------------------------------------------------------

    def usable(self) -> list[Member]:
        """Members that may hold roles: alive or suspected, and not leaving."""
        return [
            member
            for member in self.members.values()
            if member.state in (MemberState.ALIVE, MemberState.SUSPECT) and not member.leaving
        ]

    def reachable(self) -> list[Member]:
        """Members that are not dead, leaving ones among them."""
        return [member for member in self.members.values() if member.state != MemberState.DEAD]

    # --- events -------------------------------------------------------------------------------

    def start(self, now: float) -> list[MembershipEffect]:
        """Ask the seeds for their lists."""
        self._timers.next_probe = now + self._random.uniform(0, self.settings.period)
        self._timers.next_exchange = now + self._random.uniform(1, 2)
        for host, port in self.seeds:
            self._exchange_with(host, port, wants_answer=True)
        return self._take_effects()

    def add_seeds(self, now: float, seeds: Iterable[tuple[str, int]]) -> list[MembershipEffect]:
        """The platform's list names machines; those not known yet are asked."""
        known = {(member.host, member.gossip_port) for member in self.members.values()}
        for address in seeds:
            if address not in known:
                self._exchange_with(*address, wants_answer=True)
        return self._take_effects()

    def leave(self, now: float) -> list[MembershipEffect]:
        """Announce that this node leaves: it gets no roles any longer."""
        self._set_own(replace(self.own, leaving=True, incarnation=self.own.incarnation + 1))
        self._announce()
        return self._take_effects()

    def set_configuration_version(self, now: float, version: int) -> list[MembershipEffect]:
        """A new configuration is in force here: tell some members at once."""
        if version > self.configuration_version:
            self.configuration_version = version
            self._announce()
        return self._take_effects()

    def receive(self, now: float, message: MembershipMessage) -> list[MembershipEffect]:
        """Take a datagram."""
        self._merge(now, message.sender, direct=True)
        for member in message.updates:
            self._merge(now, member)
        self._effects.append(PeerVersion(message.sender.name, message.configuration_version))
        if isinstance(message, Probe):
            self._answer(message.sender, message.sequence, self.own.name)
        elif isinstance(message, ProbeAnswer):
            self._on_answer(now, message)
        elif isinstance(message, ProbeRequest):
            self._on_probe_request(now, message)
        elif message.wants_answer:
            sender = message.sender
            self._exchange_with(sender.host, sender.gossip_port, wants_answer=False)
        return self._take_effects()

    def tick(self, now: float) -> list[MembershipEffect]:
        """Time has passed."""
        self._expire(now)
        probing = self._probing
        if probing is not None and not probing.indirect and now >= probing.answer_due:
            self._probe_indirectly(probing)
        if now >= self._timers.next_probe:
            self._next_probe(now)
        if now >= self._timers.next_exchange:
            self._periodic_exchange(now)
        return self._take_effects()

    def deadline(self) -> float:
        """When `tick` has something to do."""
        times = [self._timers.next_probe, self._timers.next_exchange]
        if self._probing is not None and not self._probing.indirect:
            times.append(self._probing.answer_due)
        times.extend(self._timers.suspects.values())
        return min(times)

    # --- probing ------------------------------------------------------------------------------

    def _next_probe(self, now: float) -> None:
        self._timers.next_probe = now + self.settings.period
        if self._probing is not None:
            self._suspect(now, self._probing.target)
            self._probing = None
        target = self._draw_target()
        if target is None:
            return
        self._sequence += 1
        self._probing = _Probing(
            target.name,
            self._sequence,
            now + self.settings.answer_timeout,
        )
        self._send(target, self._probe(self._sequence, ""))

    def _draw_target(self) -> Member | None:
        """Members in a random order that is drawn anew each round, so that none waits long."""
        for _ in range(2):
            while self._order:
                member = self.members.get(self._order.pop())
                if member and member.name != self.own.name and member.state != MemberState.DEAD:
                    return member
            self._order = [name for name in self.members if name != self.own.name]
            self._random.shuffle(self._order)
        return None

    def _probe(self, sequence: int, on_behalf: str) -> Probe:
        return Probe(sequence, self.own, on_behalf, self.configuration_version, self._updates())

    def _probe_indirectly(self, probing: _Probing) -> None:
        probing.indirect = True
        others = [
            member
            for member in self.reachable()
            if member.name not in (self.own.name, probing.target)
        ]
        count = min(self.settings.indirect_probes, len(others))
        for helper in self._random.sample(others, count):
            request = ProbeRequest(
                probing.sequence,
                self.own,
                probing.target,
                self.configuration_version,
                self._updates(),
            )
            self._send(helper, request)

    def _on_probe_request(self, now: float, message: ProbeRequest) -> None:
        target = self.members.get(message.target)
        if target is None:
            return
        self._sequence += 1
        expires_at = now + self.settings.period
        self._relays[self._sequence] = _Relay(message.sender.name, message.sequence, expires_at)
        self._send(target, self._probe(self._sequence, message.sender.name))

    def _on_answer(self, now: float, message: ProbeAnswer) -> None:
        relay = self._relays.pop(message.sequence, None)
        if relay is not None:
            requester = self.members.get(relay.requester)
            if requester is not None:
                self._answer(requester, relay.sequence, message.subject)
            return
        if self._probing is not None and message.sequence == self._probing.sequence:
            self._probing = None

    def _answer(self, recipient: Member, sequence: int, subject: str) -> None:
        answer = ProbeAnswer(
            sequence, self.own, subject, self.configuration_version, self._updates()
        )
        self._send(recipient, answer)

    # --- knowledge ----------------------------------------------------------------------------

    def _merge(self, now: float, member: Member, direct: bool = False) -> None:
        """Take knowledge of a member; `direct` means that it spoke itself."""
        if member.name == self.own.name:
            self._refute(member)
            return
        held = self.members.get(member.name)
        if held is None and member.state == MemberState.DEAD:
            return
        if held is not None and not member.overrides(held):
            if direct and held.state != MemberState.ALIVE:
                self._spread(held)  # the answer carries it, so that the sender can refute it
            return
        self.members[member.name] = member
        self._timers.suspects.pop(member.name, None)
        self._timers.dead.pop(member.name, None)
        if member.state == MemberState.SUSPECT:
            self._timers.suspects[member.name] = now + self._suspicion_time()
        if member.state == MemberState.DEAD:
            self._timers.dead[member.name] = now + self.settings.forget_dead_after
        self._spread(member)
        if held is None or _role_view(held) != _role_view(member):
            self._changed = True
        if held is not None and _is_urgent(held, member):
            self._announce((member,))

    def _refute(self, claim: Member) -> None:
        if claim.incarnation < self.own.incarnation:
            return
        differs = claim.state != MemberState.ALIVE or claim.leaving != self.own.leaving
        restarted = (claim.host, claim.peer_port) != (self.own.host, self.own.peer_port)
        if claim.incarnation > self.own.incarnation or differs or restarted:
            self._set_own(replace(self.own, incarnation=claim.incarnation + 1))
            self._announce()

    def _set_own(self, own: Member) -> None:
        self._changed = self._changed or own.leaving != self.own.leaving
        self.own = own
        self.members[own.name] = own
        self._spread(own)

    def _suspect(self, now: float, name: str) -> None:
        member = self.members.get(name)
        if member is not None and member.state == MemberState.ALIVE:
            self.suspicions += 1
            suspected = replace(member, state=MemberState.SUSPECT)
            self._merge(now, suspected)
            # The suspected member itself is told first, since it alone can refute.
            self._send(member, Exchange(self.own, False, self.configuration_version, (suspected,)))

    def _suspicion_time(self) -> float:
        scale = max(1.0, math.log10(max(len(self.members), 2)))
        return self.settings.suspicion_periods * scale * self.settings.period

    def _expire(self, now: float) -> None:
        for name, due in list(self._timers.suspects.items()):
            if now >= due:
                self._merge(now, replace(self.members[name], state=MemberState.DEAD))
        for name, due in list(self._timers.dead.items()):
            if now >= due:
                del self._timers.dead[name]
                self.members.pop(name, None)
        for sequence, relay in list(self._relays.items()):
            if now >= relay.expires_at:
                del self._relays[sequence]

    # --- spreading ----------------------------------------------------------------------------

    def _spread(self, member: Member) -> None:
        times = math.ceil(self.settings.spread_factor * math.log2(len(self.members) + 1))
        self._spreading[member.name] = _Spread(member, times)

    def _updates(self) -> tuple[Member, ...]:
        chosen = sorted(self._spreading.values(), key=lambda spread: -spread.times_left)
        chosen = chosen[: self.settings.updates_a_message]
        for spread in chosen:
            spread.times_left -= 1
            if spread.times_left <= 0:
                del self._spreading[spread.member.name]
        return tuple(spread.member for spread in chosen)

    def _announce(self, news: tuple[Member, ...] = ()) -> None:
        """Tell some members at once; whoever first hears urgent news does the same.

        Left to the probes alone, such news took several periods to reach all, while callers waited
        for homes that were gone.
        """
        others = [member for member in self.reachable() if member.name != self.own.name]
        count = min(self.settings.announce_fanout, len(others))
        for member in self._random.sample(others, count):
            self._send(member, Exchange(self.own, False, self.configuration_version, news))

    def _periodic_exchange(self, now: float) -> None:
        jitter = self._random.uniform(0.5, 1.5)
        self._timers.next_exchange = now + self.settings.exchange_interval * jitter
        others = [member for member in self.reachable() if member.name != self.own.name]
        if others:
            chosen = self._random.choice(others)
            self._exchange_with(chosen.host, chosen.gossip_port, wants_answer=True)
        else:
            self._timers.next_exchange = now + self.settings.period
        for host, port in (
            self.seeds if not others else self._random.sample(self.seeds, min(1, len(self.seeds)))
        ):
            self._exchange_with(host, port, wants_answer=True)

    def _exchange_with(self, host: str, port: int, wants_answer: bool) -> None:
        known = list(self.members.values())
        part = self.settings.exchange_part
        for start in range(0, len(known), part):
            asks = wants_answer and start == 0
            version = self.configuration_version
            message = Exchange(self.own, asks, version, tuple(known[start : start + part]))
            self._effects.append(SendDatagram(host, port, message))

    def _send(self, member: Member, message: MembershipMessage) -> None:
        self._effects.append(SendDatagram(member.host, member.gossip_port, message))

    def _take_effects(self) -> list[MembershipEffect]:
        if self._changed:
            self._changed = False
            self._effects.append(ViewChanged())
        effects, self._effects = self._effects, []
        return effects


def _is_urgent(held: Member, member: Member) -> bool:
    """A member is gone, or has refuted a suspicion."""
    gone = member.leaving or member.state == MemberState.DEAD
    was_gone = held.leaving or held.state == MemberState.DEAD
    refuted = held.state != MemberState.ALIVE and member.state == MemberState.ALIVE
    return gone != was_gone or refuted


def _role_view(member: Member) -> tuple[bool, bool, str, int, str]:
    """What placement and links depend on."""
    dead = member.state == MemberState.DEAD
    return dead, member.leaving, member.host, member.peer_port, member.zone

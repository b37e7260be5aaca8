"""The messages between members, and the effects that the membership asks its driver for.

Relies on `network/codec.py` for their form on the wire.
"""

from __future__ import annotations

from dataclasses import dataclass

from orchidwind.elected.core.member_table import Member


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
    """A member has this version of the configuration in force."""

    peer: str
    version: int


MembershipEffect = SendDatagram | ViewChanged | PeerVersion

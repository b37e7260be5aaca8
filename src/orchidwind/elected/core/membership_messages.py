"""The messages between members, and the effects that `Membership` returns to its driver.

Relies on `network/codec.py` for the wire format.
"""

from __future__ import annotations

from dataclasses import dataclass

from orchidwind.elected.core.member_table import Member


@dataclass(frozen=True, slots=True)
class Probe:
    """Requests an acknowledgement; `on_behalf` is the node that requested an indirect probe."""

    sequence: int
    sender: Member
    on_behalf: str
    configuration_version: int
    updates: tuple[Member, ...]


@dataclass(frozen=True, slots=True)
class ProbeAnswer:
    """Acknowledges a probe; `subject` is the probed member, which is alive."""

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
    """A part of the full member list; `wants_answer` requests the recipient's list."""

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
    """Something that placement or the links between members depend on has changed."""


@dataclass(frozen=True, slots=True)
class PeerVersion:
    """A member reported the version of the configuration that it has in force."""

    peer: str
    version: int


MembershipEffect = SendDatagram | ViewChanged | PeerVersion

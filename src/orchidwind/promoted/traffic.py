"""Counts what a proxy exchanges with instances and other proxies, by the zone of the other side.

For: the drivers of connections, which count what they send and receive, and `metrics`, which shows
it. Owns the counts. The side that opened a connection counts both directions, so no byte is counted
twice in a fleet. Calls to the store and to callers are not counted.
"""

from __future__ import annotations

from enum import Enum, unique

from msgspec import Struct


@unique
class Counterpart(Enum):
    """What is at the other end of a connection."""

    INSTANCE = "instance"
    PROXY = "proxy"


class ZoneTraffic(Struct):
    """What was exchanged with one zone: payload bytes of both directions, and messages sent."""

    sent_bytes: int = 0
    received_bytes: int = 0
    sent_messages: int = 0

    def sent(self, size: int, messages: int = 1) -> None:
        """Count messages of `size` bytes together."""
        self.sent_bytes += size
        self.sent_messages += messages

    def received(self, size: int) -> None:
        """Count received bytes."""
        self.received_bytes += size


class TrafficKey(Struct, frozen=True):
    """The other side of some traffic."""

    counterpart: Counterpart
    zone: str


class Traffic:
    """The traffic of one proxy. `counts` has it by the other side."""

    def __init__(self) -> None:
        self.counts: dict[TrafficKey, ZoneTraffic] = {}

    def of(self, counterpart: Counterpart, zone: str) -> ZoneTraffic:
        """Return the counts of one kind of counterpart in a zone, for updating."""
        return self.counts.setdefault(TrafficKey(counterpart, zone), ZoneTraffic())

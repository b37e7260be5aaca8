"""Rendezvous hashing: which proxy is the home of a database in each zone, and with how many slots.

Every node computes the same answer from the same membership view. Views that differ for a moment
can give a database two homes in a zone; the database's own connection limit then has the last
word, and the promises do not rest on a home being the only one.
"""

from __future__ import annotations

from collections.abc import Mapping, Sequence
from dataclasses import dataclass

from orchidwind.elected.core.configuration import DatabaseSettings, ZoneSettings
from orchidwind.shared.core.rendezvous import first, rank


@dataclass(frozen=True, slots=True)
class Node:
    """A proxy that may hold roles."""

    name: str
    zone: str


class Placement:
    """The roles that follow from a set of nodes."""

    def __init__(self, nodes: Sequence[Node], zones: Sequence[ZoneSettings]) -> None:
        self._by_zone: dict[str, list[str]] = {}
        for node in nodes:
            self._by_zone.setdefault(node.zone, []).append(node.name)
        self._region = {zone.name: zone.region for zone in zones}
        self._zones = [zone.name for zone in zones if zone.name in self._by_zone]

    def zone_shares(self, database: DatabaseSettings) -> Mapping[str, int]:
        """Server connections to each instance for each zone that has nodes.

        The operator's division counts where it is given; slots that it leaves, and those of zones
        without nodes, go round the zones in the database's own order.
        """
        shares = {
            zone: min(database.zone_slots.get(zone, 0), database.slots) for zone in self._zones
        }
        order = rank(database.name, self._zones)
        rest = database.slots - sum(shares.values())
        for index in range(max(rest, 0) if order else 0):
            shares[order[index % len(order)]] += 1
        return shares

    def home(self, database: DatabaseSettings, zone: str) -> str | None:
        """The proxy that serves a database to callers of a zone."""
        shares = self.zone_shares(database)
        serving = zone if shares.get(zone, 0) > 0 else self._nearest(database, zone, shares)
        if serving is None:
            return None
        return first(database.name, self._by_zone[serving])

    def homes(self, database: DatabaseSettings) -> list[str]:
        """The homes of a database in all zones that have a share of it."""
        shares = self.zone_shares(database)
        found = (first(database.name, self._by_zone[zone]) for zone in shares if shares[zone] > 0)
        return [name for name in found if name is not None]

    def shares_of(self, database: DatabaseSettings, node: Node) -> int:
        """Connections to each instance that a node holds as home, 0 where it is not."""
        share = self.zone_shares(database).get(node.zone, 0)
        if share == 0 or first(database.name, self._by_zone.get(node.zone, [])) != node.name:
            return 0
        return share

    def _nearest(
        self, database: DatabaseSettings, zone: str, shares: Mapping[str, int]
    ) -> str | None:
        serving = [name for name in rank(database.name, self._zones) if shares.get(name, 0) > 0]
        region = self._region.get(zone)
        near = [name for name in serving if self._region.get(name) == region]
        return next(iter(near or serving), None)

    def watchers(self, zone: str, number: int) -> list[str]:
        """The nodes of a zone that read the platform; the others hear from their peers."""
        return rank(f"configuration/{zone}", self._by_zone.get(zone, []))[:number]

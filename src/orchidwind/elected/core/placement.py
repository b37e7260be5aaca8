"""Assigns each database a home proxy and a number of slots in each zone, by rendezvous hashing.

Every node computes the same placement from the same membership view. While views differ, a database
may have two homes in a zone; the database's own connection limit then still holds, and the
consistency guarantees do not depend on the home being unique.
"""

from __future__ import annotations

from collections.abc import Mapping, Sequence
from dataclasses import dataclass

from orchidwind.elected.core.configuration import DatabaseSettings, ZoneSettings
from orchidwind.shared.core.rendezvous import first, rank


@dataclass(frozen=True, slots=True)
class Node:
    """A proxy that may be a home."""

    name: str
    zone: str


class Placement:
    """The homes and shares that follow from a set of nodes."""

    def __init__(self, nodes: Sequence[Node], zones: Sequence[ZoneSettings]) -> None:
        self._by_zone: dict[str, list[str]] = {}
        for node in nodes:
            self._by_zone.setdefault(node.zone, []).append(node.name)
        self._region = {zone.name: zone.region for zone in zones}
        self._zones = [zone.name for zone in zones if zone.name in self._by_zone]

    def zone_shares(self, database: DatabaseSettings) -> Mapping[str, int]:
        """The number of server connections to each instance, by zone that has nodes.

        The operator's `zone_slots` apply where given. The slots they leave, and those of zones
        without nodes, are dealt out in turn to the zones in the database's rendezvous order.
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
        """The home proxy of a database for callers in a zone, None if no zone has a share."""
        shares = self.zone_shares(database)
        serving = zone if shares.get(zone, 0) > 0 else self._nearest(database, zone, shares)
        if serving is None:
            return None
        return first(database.name, self._by_zone[serving])

    def homes(self, database: DatabaseSettings) -> list[str]:
        """The home proxies of a database, one for each zone that has a share."""
        shares = self.zone_shares(database)
        found = (first(database.name, self._by_zone[zone]) for zone in shares if shares[zone] > 0)
        return [name for name in found if name is not None]

    def shares_of(self, database: DatabaseSettings, node: Node) -> int:
        """The connections to each instance that a node may hold; 0 if it is not a home."""
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
        """The nodes of a zone that read the platform; the others learn from their peers."""
        return rank(f"configuration/{zone}", self._by_zone.get(zone, []))[:number]

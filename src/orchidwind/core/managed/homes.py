"""Which proxies hold the server connections of a managed group: its homes. No I/O.

Every proxy computes the same answer from the same members. Where each proxy can have a useful
number of connections, each is a home and requests take no further hop. Beyond that, a few proxies
of each zone are homes, and the others forward to them. Views that differ for a moment give a group
more homes than meant; the instances' own connection limit then has the last word, and no promise
rests on who is a home.

Weighed: one home a zone (its loss moves a whole zone's requests at once), connections lent between
proxies (at 300 proxies and 34 connections most would hold none), connections opened for each
request (12 to 32 ms each).
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass

from orchidwind.core.rendezvous import first, rank, rank_by_capacity

# With fewer than these to each instance, requests of one proxy wait for one another's connections.
FEWEST_USEFUL_CONNECTIONS = 4
CONNECTIONS_OF_A_HOME = 6
MOST_HOMES_A_ZONE = 3
_FEWEST_CONNECTIONS = 2


@dataclass(frozen=True, slots=True)
class ProxyMember:
    """One proxy. `capacity` weighs it against others; `host` and `port` take peer links."""

    name: str
    zone: str
    host: str
    port: int
    capacity: float = 1.0


@dataclass(frozen=True, slots=True)
class GroupHomes:
    """The homes of a group, and how many connections each may hold to each instance."""

    group: str
    homes: tuple[ProxyMember, ...]
    connections: int

    def includes(self, name: str) -> bool:
        """Whether a proxy is a home."""
        return any(member.name == name for member in self.homes)

    def preferred(self, front: str, zone: str) -> list[ProxyMember]:
        """The homes in the order in which a proxy sends requests to them.

        Itself, those of its zone, then the others; several proxies spread over them.
        """
        by_name = {member.name: member for member in self.homes}
        ordered = rank(f"{self.group}/{front}", list(by_name))
        return sorted(
            (by_name[name] for name in ordered),
            key=lambda member: (member.name != front, member.zone != zone),
        )


def group_homes(group: str, connection_limit: int, members: Iterable[ProxyMember]) -> GroupHomes:
    """The homes of a group whose instances take so many connections each, over all proxies."""
    known = sorted(members, key=lambda member: member.name)
    if len(known) * FEWEST_USEFUL_CONNECTIONS <= connection_limit:
        homes = known
    else:
        homes = _chosen(group, connection_limit, known)
    share = connection_limit // max(len(homes), 1)
    return GroupHomes(group, tuple(homes), max(share, _FEWEST_CONNECTIONS))


def zone_readers(view: str, followers: Iterable[ProxyMember]) -> dict[str, ProxyMember]:
    """Which proxy of each zone watches the store closely for the others of it, by zone."""
    by_zone: dict[str, dict[str, ProxyMember]] = {}
    for member in followers:
        by_zone.setdefault(member.zone, {})[member.name] = member
    readers: dict[str, ProxyMember] = {}
    for zone, members in by_zone.items():
        name = first(view, sorted(members))
        if name is not None:
            readers[zone] = members[name]
    return readers


def _chosen(group: str, connection_limit: int, known: list[ProxyMember]) -> list[ProxyMember]:
    by_zone: dict[str, list[ProxyMember]] = {}
    for member in known:
        by_zone.setdefault(member.zone, []).append(member)
    wanted = max(1, connection_limit // CONNECTIONS_OF_A_HOME)
    zones = rank(group, sorted(by_zone))[:wanted]
    in_each = min(max(1, wanted // len(zones)), MOST_HOMES_A_ZONE)
    homes: list[ProxyMember] = []
    for zone in zones:
        members = {member.name: member for member in by_zone[zone]}
        capacities = {name: member.capacity for name, member in members.items()}
        homes.extend(members[name] for name in rank_by_capacity(group, capacities)[:in_each])
    return homes

"""Which proxies hold the server connections of a promoted group: its homes. No I/O.

Every proxy computes the same answer from the same members. In a small fleet, where each proxy can
have a useful number of connections, each is a home and requests take no further hop. Beyond that, a
few proxies of each zone are homes, and the others forward to them. The groups share their homes: so
few proxies follow the directory, the promotion lock and the rosters, and each sees enough requests
of a group to keep its connections in use. Views that differ for a moment give a group more homes
than meant; the instances' own connection limit then has the last word, and no promise rests on who
is a home.

Weighed: one home a zone (its loss moves a whole zone's requests at once), homes of each group by
itself (at 195 proxies and 10 groups two thirds of all proxies were homes, and an instance that runs
two requests at once had connections from 21), connections lent between proxies (at 300 proxies and
34 connections most would hold none), connections opened for each request (12 to 32 ms each).
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Iterable, Mapping
from math import ceil

from msgspec import Struct

from orchidwind.shared.core.rendezvous import first, rank

# Connections of a proxy to each instance. With fewer, its requests wait for one another's.
FEWEST_USEFUL_CONNECTIONS = 4
# Connections of a home to each instance where few proxies are homes. Half more than the
# fewest, as a home carries the requests of several proxies.
CONNECTIONS_OF_A_HOME = 6
# So many connections to an instance of its zone has a home for each one that a home of another zone
# has, where connections belong to tenants.
_NEAR_PARTS = 3
# One can be lost, and requests still have a home in their zone.
MOST_HOMES_A_ZONE = 2
# How many groups a proxy may be home of before more proxies of the zone share them. With as
# many, the busiest home of 195 proxies spent 0.07 of a core on a calm day (docs/CAPACITY.md).
GROUPS_OF_A_HOME = 10
# Connections that a home opens at least, whatever its share. A transaction that rests must
# not stop all other requests; an instance that is over its limit refuses the others.
_FEWEST_CONNECTIONS = 2
_SHARED_KEY = "shared-homes"
# A proxy that was not reached for so many seconds is taken off the list of proxies. Long
# beside a restart (a second); its lost link keeps requests away from it until then.
FORGET_PROXY_SECONDS = 30.0
# A list that does not name a proxy is believed so many seconds after the proxy wrote its entry.
# Half of the age that the list may have (`ProxyBounds.members`).
OWN_ENTRY_LISTED_AFTER_SECONDS = 10.0
# After a return of the store from a copy, seconds for which a proxy that the copy lacks stays a
# member. Proxies know of the return within half a second of one another, and list
# themselves again within one; the rest is for calls that are refused.
RELISTING_SECONDS = 3.0
_LOCK_READER_KEY = "promotion-lock"
# How many proxies read the promotion lock for the others. The store may turn one away and
# serve the other; they sit in different zones.
_LOCK_READERS = 2


class ProxyMember(Struct, frozen=True):
    """One proxy. `capacity` weighs it against others; `host` and `port` take peer links."""

    name: str
    zone: str
    host: str
    port: int
    capacity: float = 1.0


class GroupHomes(Struct, frozen=True):
    """The homes of a group, and how many connections each may hold to its primary.

    `near_connections` and `far_connections`: to a replica of its zone, and to one of another.
    """

    group: str
    homes: tuple[ProxyMember, ...]
    connections: int
    near_connections: int
    far_connections: int

    def includes(self, name: str) -> bool:
        """Whether a proxy is a home."""
        return any(member.name == name for member in self.homes)

    def preferred(self, front: str, zone: str) -> list[ProxyMember]:
        """The homes in the order in which a proxy sends requests to them.

        Itself, those of its zone, then the others; several proxies spread over them.
        """
        ordered = self._ranked(f"{self.group}/{front}")
        return sorted(ordered, key=lambda member: (member.name != front, member.zone != zone))

    def preferred_of_tenant(self, tenant: str, large: bool, zone: str) -> list[ProxyMember]:
        """The homes in the order in which proxies of a zone send a tenant's requests to them.

        A large tenant has a home in each zone. Any other has one for all zones: its requests use
        the same few connections and one bucket of its quota, which is worth the way to that home.
        """
        if not large:
            return self._ranked(tenant)
        ordered = self._ranked(f"{self.group}/{tenant}")
        return sorted(ordered, key=lambda member: member.zone != zone)

    def _ranked(self, key: str) -> list[ProxyMember]:
        by_name = {member.name: member for member in self.homes}
        return [by_name[name] for name in rank(key, list(by_name))]


def group_homes(
    group: str,
    connection_limit: int,
    members: Iterable[ProxyMember],
    groups: int,
    has_tenants: bool = False,
) -> GroupHomes:
    """The homes of one of so many groups, by how many connections its instances take each.

    Where callers have tenants, each connection serves one of them: a home then holds more of them
    to the replicas of its zone, where most of its reads run. All homes write to the primary.
    """
    by_zone: dict[str, list[ProxyMember]] = {}
    for member in sorted(members, key=lambda member: member.name):
        by_zone.setdefault(member.zone, []).append(member)
    known = [member for zone in by_zone.values() for member in zone]
    useful = len(known) * FEWEST_USEFUL_CONNECTIONS <= connection_limit
    if useful and len(known) <= len(by_zone) * MOST_HOMES_A_ZONE:
        homes = known
    else:
        homes = _chosen(group, connection_limit, by_zone, groups)
    share = max(connection_limit // max(len(homes), 1), _FEWEST_CONNECTIONS)
    if not has_tenants or not homes:
        return GroupHomes(group, tuple(homes), share, share, share)
    near = max(Counter(home.zone for home in homes).values())
    parts = near * _NEAR_PARTS + len(homes) - near
    far = max(connection_limit // parts, _FEWEST_CONNECTIONS)
    left = (connection_limit - far * (len(homes) - near)) // near
    return GroupHomes(group, tuple(homes), share, max(left, far), far)


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


def lock_readers(members: Iterable[ProxyMember]) -> list[ProxyMember]:
    """Which proxies read the promotion lock for the others, in the order in which to ask them."""
    chosen: list[ProxyMember] = []
    candidates = {member.name: member for member in members}
    while len(chosen) < _LOCK_READERS:
        name = first(_LOCK_READER_KEY, sorted(candidates))
        if name is None:
            break
        reader = candidates[name]
        chosen.append(reader)
        candidates = {
            member.name: member for member in candidates.values() if member.zone != reader.zone
        }
    return chosen


def _chosen(
    group: str, connection_limit: int, by_zone: Mapping[str, list[ProxyMember]], groups: int
) -> list[ProxyMember]:
    wanted = max(1, connection_limit // CONNECTIONS_OF_A_HOME)
    zones = rank(group, sorted(by_zone))[:wanted]
    in_each = min(max(1, wanted // len(zones)), MOST_HOMES_A_ZONE)
    homes: list[ProxyMember] = []
    for zone in zones:
        shared = {member.name: member for member in _shared(by_zone[zone], groups)}
        homes.extend(shared[name] for name in rank(group, sorted(shared))[:in_each])
    return homes


def _shared(members: Iterable[ProxyMember], groups: int) -> list[ProxyMember]:
    """The proxies of a zone that its groups share as homes: the strongest, by hash among equals."""
    by_name = {member.name: member for member in members}
    ordered = [by_name[name] for name in rank(_SHARED_KEY, sorted(by_name))]
    ordered.sort(key=lambda member: -member.capacity)
    wanted = ceil(groups * MOST_HOMES_A_ZONE / GROUPS_OF_A_HOME)
    return ordered[: max(wanted, MOST_HOMES_A_ZONE)]

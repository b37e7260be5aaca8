"""Chooses the home proxies of a promoted group: those that hold its server connections. No I/O.

Every proxy computes the same result from the same list of members. In a small fleet, where the
connection limit allows each proxy a useful number of connections, every proxy is a home, and
requests need no additional network hop. In a larger fleet, a few proxies of each zone are homes,
and the others forward requests to them. The groups share their homes: only a few proxies then
follow the directory, the promotion lock and the rosters, and each gets enough requests of a group
to keep its connections in use. While the proxies' lists of members differ, a group may temporarily
have more homes than intended. The instances' own connection limit still applies, and correctness
does not depend on the choice of homes.

In a fleet of several regions, a group has up to two homes in each region, in different zones. A
proxy uses a home of its own region as long as one can be reached.

Rejected alternatives:

- One home per zone: its loss moves the requests of a whole zone at once.
- Separate homes for each group: with 195 proxies and 10 groups, two thirds of all proxies were
  homes, and an instance that runs two requests at a time had connections from 21 proxies.
- Lending connections between proxies: with 300 proxies and 34 connections, most would hold none.
- Opening a connection for each request: 12 to 32 ms each.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Iterable, Mapping
from itertools import zip_longest
from math import ceil

from msgspec import Struct

from orchidwind.promoted.core.distances import ONE_REGION, Nearness, Regions
from orchidwind.shared.core.rendezvous import first, rank

# Minimum useful number of connections from a proxy to each instance. With fewer, its requests wait
# for each other.
MINIMUM_USEFUL_CONNECTIONS = 4
# Connections from a home to each instance if only some proxies are homes: 1.5 times the minimum,
# because a home serves the requests of several proxies.
CONNECTIONS_PER_HOME = 6
# If connections belong to tenants, a home in the zone of an instance gets this many connections to
# it for each connection that a home in another zone gets.
_NEAR_CONNECTION_RATIO = 3
# With two homes per zone, one can be lost and the zone's requests still have a home in the zone.
MAXIMUM_HOMES_PER_ZONE = 2
# The same for the homes of a region in a fleet of several regions.
MAXIMUM_HOMES_PER_REGION = 2
# Number of groups per home above which more proxies of a zone become homes. With this many, the
# busiest home of 195 proxies used 0.07 of a core at normal load (docs/CAPACITY.md).
GROUPS_PER_HOME = 10
# Minimum number of connections of a home, whatever its share of the limit: an idle transaction must
# not block all other requests. An instance that reaches its limit refuses further connections.
_MINIMUM_CONNECTIONS = 2
_SHARED_KEY = "shared-homes"
# A proxy that was unreachable for this many seconds is removed from the list of proxies. This is
# long compared with a restart (a second); until then, no requests go to it because its link is
# down.
FORGET_PROXY_SECONDS = 30.0
# Seconds after a proxy wrote its own entry before it trusts a list of members that lacks the entry.
# Half of the maximum age of the list (`ProxyBounds.members`).
OWN_ENTRY_GRACE_SECONDS = 10.0
# Seconds for which a proxy stays a member after the store was restored from an older copy that
# lacks its entry. Proxies learn of the restore within half a second of one another and write their
# entries again within one second; the rest allows for calls that are refused.
RELISTING_SECONDS = 3.0
_LOCK_READER_KEY = "promotion-lock"
# Number of proxies that read the promotion lock for the others. They are in different zones,
# because the store may refuse one of them and still serve the other.
_LOCK_READERS = 2


class ProxyMember(Struct, frozen=True):
    """One proxy of the fleet.

    `host` and `port` accept links from other proxies; `capacity` is relative to other proxies.
    """

    name: str
    zone: str
    host: str
    port: int
    capacity: float = 1.0


class GroupHomes(Struct, frozen=True):
    """The home proxies of a group, and the number of connections that each may hold.

    `connections` is the number to the primary, `near_connections` to a replica in the home's own
    zone, and `far_connections` to a replica in another zone.
    """

    group: str
    homes: tuple[ProxyMember, ...]
    connections: int
    near_connections: int
    far_connections: int

    def includes(self, name: str) -> bool:
        """Whether the proxy of this name is a home of the group."""
        return any(member.name == name for member in self.homes)

    def preferred(self, front: str, zone: str, regions: Regions = ONE_REGION) -> list[ProxyMember]:
        """Returns the homes in the order in which a front proxy prefers them.

        The front proxy itself comes first, then homes in its zone, then those in its region, then
        the others. Homes of equal rank are ordered by a hash, so that different front proxies
        spread over them.
        """

        def rank_of(member: ProxyMember) -> tuple[bool, Nearness]:
            return member.name != front, regions.nearness(zone, member.zone)

        return sorted(self._ranked(f"{self.group}/{front}"), key=rank_of)

    def preferred_of_tenant(
        self, tenant: str, large: bool, zone: str, regions: Regions = ONE_REGION
    ) -> list[ProxyMember]:
        """Returns the homes in the order in which proxies of a zone prefer them for a tenant.

        A large tenant has a home in each zone. Any other tenant has one home for all zones of a
        region: its requests then share a few connections and one token bucket, which outweighs the
        latency between zones, but not that between regions.
        """
        if not large:
            in_other_region = Nearness.OTHER_REGION
            return sorted(
                self._ranked(tenant),
                key=lambda member: regions.nearness(zone, member.zone) == in_other_region,
            )
        ordered = self._ranked(f"{self.group}/{tenant}")
        return sorted(ordered, key=lambda member: regions.nearness(zone, member.zone))

    def _ranked(self, key: str) -> list[ProxyMember]:
        """Returns the homes in rendezvous-hash order for a key."""
        by_name = {member.name: member for member in self.homes}
        return [by_name[name] for name in rank(key, list(by_name))]


def group_homes(
    group: str,
    connection_limit: int,
    members: Iterable[ProxyMember],
    groups: int,
    has_tenants: bool = False,
    regions: Regions = ONE_REGION,
) -> GroupHomes:
    """Returns the homes of a group whose instances accept `connection_limit` connections each.

    `groups` is the number of groups that share the proxies. If callers have tenants, each
    connection serves one tenant. A home then gets more connections to the replicas in its zone,
    where most of its reads run. All homes send writes to the primary.
    """
    by_zone: dict[str, list[ProxyMember]] = {}
    for member in sorted(members, key=lambda member: member.name):
        by_zone.setdefault(member.zone, []).append(member)
    ordered_members = [member for zone in by_zone.values() for member in zone]
    enough_for_all = len(ordered_members) * MINIMUM_USEFUL_CONNECTIONS <= connection_limit
    if enough_for_all and len(ordered_members) <= len(by_zone) * MAXIMUM_HOMES_PER_ZONE:
        homes = ordered_members
    else:
        homes = _choose_homes(group, connection_limit, by_zone, groups, regions)
    share = max(connection_limit // max(len(homes), 1), _MINIMUM_CONNECTIONS)
    if not has_tenants or not homes:
        return GroupHomes(group, tuple(homes), share, share, share)
    near = max(Counter(home.zone for home in homes).values())
    parts = near * _NEAR_CONNECTION_RATIO + len(homes) - near
    far = max(connection_limit // parts, _MINIMUM_CONNECTIONS)
    near_share = (connection_limit - far * (len(homes) - near)) // near
    return GroupHomes(group, tuple(homes), share, max(near_share, far), far)


def zone_readers(
    view: str, followers: Iterable[ProxyMember], regions: Regions = ONE_REGION
) -> dict[str, ProxyMember]:
    """Returns, by zone, the proxy that follows a view in the store on behalf of its zone.

    With several regions, there is one reader for each region, and the key is the region.
    """
    ranked = _ranked_by_area(view, followers, regions)
    return {area: members[0] for area, members in ranked.items()}


def substitute_readers(
    view: str, followers: Iterable[ProxyMember], regions: Regions
) -> dict[str, ProxyMember]:
    """Returns, by region, the proxy that reads while the region's reader does not answer.

    Empty if there is only one region: the readers of other zones are as near then.
    """
    if not regions.several:
        return {}
    ranked = _ranked_by_area(view, followers, regions)
    return {area: members[1] for area, members in ranked.items() if len(members) > 1}


def _ranked_by_area(
    view: str, followers: Iterable[ProxyMember], regions: Regions
) -> dict[str, list[ProxyMember]]:
    by_area: dict[str, dict[str, ProxyMember]] = {}
    for member in followers:
        by_area.setdefault(regions.reading_area(member.zone), {})[member.name] = member
    return {
        area: [members[name] for name in rank(view, sorted(members))]
        for area, members in by_area.items()
    }


def lock_readers(members: Iterable[ProxyMember]) -> list[ProxyMember]:
    """Returns the proxies that read the promotion lock for the others, in order of preference."""
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


def _choose_homes(
    group: str,
    connection_limit: int,
    by_zone: Mapping[str, list[ProxyMember]],
    groups: int,
    regions: Regions,
) -> list[ProxyMember]:
    """Returns the homes of a group in a fleet where not every proxy is a home."""
    if regions.several:
        return _choose_homes_by_region(group, connection_limit, by_zone, groups, regions)
    wanted = max(1, connection_limit // CONNECTIONS_PER_HOME)
    zones = rank(group, sorted(by_zone))[:wanted]
    per_zone = min(max(1, wanted // len(zones)), MAXIMUM_HOMES_PER_ZONE)
    homes: list[ProxyMember] = []
    for zone in zones:
        shared = {member.name: member for member in _shared_homes(by_zone[zone], groups)}
        homes.extend(shared[name] for name in rank(group, sorted(shared))[:per_zone])
    return homes


def _choose_homes_by_region(
    group: str,
    connection_limit: int,
    by_zone: Mapping[str, list[ProxyMember]],
    groups: int,
    regions: Regions,
) -> list[ProxyMember]:
    """Returns the homes of a group in a deployment with several regions.

    Each region gets the same number of homes, in as many zones as possible, and at least one. Where
    the connection limit is too small even for that, only the first regions by hash get a home, and
    the others use it.
    """
    zones_of: dict[str, list[str]] = {}
    for zone in rank(group, sorted(by_zone)):
        zones_of.setdefault(regions.region_of(zone), []).append(zone)
    wanted = connection_limit // CONNECTIONS_PER_HOME // len(zones_of)
    per_region = min(max(1, wanted), MAXIMUM_HOMES_PER_REGION)
    homes: list[ProxyMember] = []
    # Each home gets at least the minimum of connections, also where there is room for one only.
    served = max(connection_limit // _MINIMUM_CONNECTIONS, 1)
    for zones in list(zones_of.values())[:served]:
        choices = [rank(group, _shared_names(by_zone[zone], groups)) for zone in zones]
        # All first choices come before the second ones, so that homes are in different zones.
        names = [name for same_rank in zip_longest(*choices) for name in same_rank if name]
        by_name = {member.name: member for zone in zones for member in by_zone[zone]}
        homes.extend(by_name[name] for name in names[:per_region])
    return homes


def _shared_names(members: Iterable[ProxyMember], groups: int) -> list[str]:
    return sorted(member.name for member in _shared_homes(members, groups))


def _shared_homes(members: Iterable[ProxyMember], groups: int) -> list[ProxyMember]:
    """Returns the proxies of a zone that the groups share as homes.

    These are the proxies with the highest capacity, ordered by a hash where capacities are equal.
    """
    by_name = {member.name: member for member in members}
    ordered = [by_name[name] for name in rank(_SHARED_KEY, sorted(by_name))]
    ordered.sort(key=lambda member: -member.capacity)
    wanted = ceil(groups * MAXIMUM_HOMES_PER_ZONE / GROUPS_PER_HOME)
    return ordered[: max(wanted, MAXIMUM_HOMES_PER_ZONE)]

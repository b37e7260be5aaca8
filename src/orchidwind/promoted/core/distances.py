"""How far other zones are: the regions of a deployment, and expected round trips. No I/O, no clock.

For: every choice among proxies or instances that should prefer near ones (homes, readers, reads,
the next primary). Owns: the table of zones and regions (`Regions`), which is the same at all
proxies, and one proxy's measured round trips (`Distances`). Relies on: the settings for the table,
and a driver that reports the round trips of status calls. Times are in seconds.

In a deployment with one region, or without a table of zones, distances are constants and nothing is
measured. A zone that the table does not name counts as a region of its own.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Mapping, Sequence
from enum import IntEnum, unique

from msgspec import Struct, field


@unique
class Nearness(IntEnum):
    """How near a zone is; lower is nearer."""

    SAME_ZONE = 0
    SAME_REGION = 1
    OTHER_REGION = 2


# Expected round trips before any was measured.
_DEFAULT_ROUND_TRIPS = {
    Nearness.SAME_ZONE: 0.0,
    Nearness.SAME_REGION: 0.004,
    Nearness.OTHER_REGION: 0.04,
}
# The shortest round trip of this period counts: delays at a busy instance do not look like
# distance.
MEASURED_WITHIN_SECONDS = 30.0
# A zone whose last measurement is older than this is measured again. A failed try waits as long.
MEASURE_AGAIN_SECONDS = 10.0
# A measured round trip counts as at most this multiple of the default, so that a zone in which
# every instance is slow for the whole period stays usable.
_LONGEST_BY_DEFAULT = 10.0
# The bound of a zone whose default is 0: the clock and the scheduler of a busy proxy.
_LONGEST_IN_ZONE_SECONDS = 0.004


class Regions(Struct, frozen=True):
    """The regions of all zones. `table` maps each zone to its region; empty if there is none."""

    table: Mapping[str, str] = field(default_factory=dict)

    @property
    def several(self) -> bool:
        """Whether the deployment has more than one region."""
        return len(set(self.table.values())) > 1

    def region_of(self, zone: str) -> str:
        """Return the region of a zone; empty if there is only one."""
        return self.table.get(zone, zone) if self.several else ""

    def reading_area(self, zone: str) -> str:
        """Return the area of a zone whose proxies share a reader of the store.

        This is its region if there are several, else the zone.
        """
        return self.region_of(zone) if self.several else zone

    def nearness(self, one: str, other: str) -> Nearness:
        """Return how near two zones are to each other."""
        if one == other:
            return Nearness.SAME_ZONE
        if self.region_of(one) == self.region_of(other):
            return Nearness.SAME_REGION
        return Nearness.OTHER_REGION


ONE_REGION = Regions()


class Distance(Struct, frozen=True):
    """The distance to a zone. `age` is that of its last measurement; None: the default counts."""

    zone: str
    region: str
    round_trip: float
    age: float | None


class Distances:
    """Expected round trips from one zone to the others."""

    def __init__(self, zone: str, regions: Regions = ONE_REGION) -> None:
        """`zone` is the zone of this proxy."""
        self.zone = zone
        self.regions = regions
        # Computed once: read planning asks for each read.
        self.several_regions = regions.several
        self._nearness: dict[str, Nearness] = {}
        self._measured: dict[str, _ShortestRoundTrip] = {}
        self._tries: dict[str, _Tries] = {}

    def nearness(self, zone: str) -> Nearness:
        """Return how near a zone is to this proxy."""
        found = self._nearness.get(zone)
        if found is None:
            found = self._nearness[zone] = self.regions.nearness(self.zone, zone)
        return found

    def same_zone(self, zone: str) -> bool:
        """Whether a zone is this proxy's own."""
        return zone == self.zone

    def crosses_region(self, zone: str) -> bool:
        """Whether requests to a zone leave this proxy's region."""
        return self.several_regions and self.nearness(zone) is Nearness.OTHER_REGION

    def round_trip(self, zone: str, now: float) -> float:
        """Return the expected round trip to a zone, in seconds."""
        default = _DEFAULT_ROUND_TRIPS[self.nearness(zone)]
        measured = self._measured.get(zone)
        shortest = None if measured is None else measured.shortest(now)
        if shortest is None:
            return default
        return min(shortest, max(default * _LONGEST_BY_DEFAULT, _LONGEST_IN_ZONE_SECONDS))

    def measured(self, zone: str, seconds: float, now: float) -> None:
        """Record a round trip to a zone; does nothing if there is only one region."""
        if self.several_regions:
            self._measured.setdefault(zone, _ShortestRoundTrip()).add(seconds, now)

    def due(self, zone: str, now: float) -> bool:
        """Whether the distance to a zone should be measured again."""
        if not self.several_regions:
            return False
        tries = self._tries.get(zone)
        if tries is not None and now - tries.last_at < MEASURE_AGAIN_SECONDS:
            return False
        age = self.age(zone, now)
        return age is None or age >= MEASURE_AGAIN_SECONDS

    def next_to_try(self, zone: str, instances: Sequence[str], now: float) -> str:
        """Return the instance of a zone to measure now, in rotation, and note the try."""
        tries = self._tries.get(zone, _Tries())
        self._tries[zone] = _Tries(tries.count + 1, now)
        return instances[tries.count % len(instances)]

    def age(self, zone: str, now: float) -> float | None:
        """Return the seconds since the last measurement; None if the default counts."""
        measured = self._measured.get(zone)
        if measured is None or measured.shortest(now) is None:
            return None
        return now - measured.last_at

    def known(self, now: float) -> list[Distance]:
        """Return the distance to each zone of the table; empty if there is only one region."""
        if not self.several_regions:
            return []
        return [
            Distance(
                zone, self.regions.region_of(zone), self.round_trip(zone, now), self.age(zone, now)
            )
            for zone in sorted(self.regions.table)
        ]


class _Tries(Struct, frozen=True):
    """How often the measurement of a zone was tried, and when last."""

    count: int = 0
    last_at: float = float("-inf")


class _RoundTrip(Struct, frozen=True):
    """One measured round trip, and when it ended."""

    seconds: float
    at: float


class _ShortestRoundTrip:
    """The shortest round trip of the last `MEASURED_WITHIN_SECONDS`.

    Holds only measurements that may become the shortest once older ones expire, so each is longer
    than the one before.
    """

    def __init__(self) -> None:
        self.last_at = float("-inf")
        self._held: deque[_RoundTrip] = deque()

    def add(self, seconds: float, now: float) -> None:
        """Record a round trip that ended now."""
        while self._held and self._held[-1].seconds >= seconds:
            self._held.pop()
        self._held.append(_RoundTrip(seconds, now))
        self.last_at = now

    def shortest(self, now: float) -> float | None:
        """Return the shortest recent round trip, in seconds; None if there is none."""
        while self._held and now - self._held[0].at > MEASURED_WITHIN_SECONDS:
            self._held.popleft()
        return self._held[0].seconds if self._held else None

"""The network of the model: who reaches whom, and how long it takes."""

from __future__ import annotations

from orchidwind_bench.promoted.exploration.timeline import Timeline

STORE = "store"
# One way between two machines of a site, in seconds; 0.2 to 2 ms are usual within a site.
WAY_SECONDS = 0.001


class ModelNetwork:
    """Cuts between two names, or of a name from all proxies, each until a time."""

    def __init__(self, timeline: Timeline) -> None:
        self._timeline = timeline
        self._cut_until: dict[frozenset[str], float] = {}
        self._deaf_until: dict[str, float] = {}

    def cut(self, one: str, other: str, seconds: float) -> None:
        """Nothing passes between two names for some seconds."""
        pair = frozenset((one, other))
        until = self._timeline.now + seconds
        self._cut_until[pair] = max(self._cut_until.get(pair, 0.0), until)

    def deafen(self, instance: str, seconds: float) -> None:
        """An instance takes nothing from any proxy for some seconds; replication goes on."""
        until = self._timeline.now + seconds
        self._deaf_until[instance] = max(self._deaf_until.get(instance, 0.0), until)

    def passes(self, one: str, other: str) -> bool:
        """Whether anything passes between two names now."""
        return self._cut_until.get(frozenset((one, other)), 0.0) <= self._timeline.now

    def hears(self, instance: str, proxy: str) -> bool:
        """Whether an instance takes what a proxy sends now."""
        deaf = self._deaf_until.get(instance, 0.0) > self._timeline.now
        return not deaf and self.passes(proxy, instance)

    def disturbed(self, name: str, within: float) -> bool:
        """Whether some link of a name was cut at any time of the last seconds."""
        since = self._timeline.now - within
        cuts = any(name in pair and until >= since for pair, until in self._cut_until.items())
        return cuts or any(until >= since for until in self._deaf_until.values())

"""Figures of one proxy, in Prometheus' text form on `/metrics`.

Owns the names and labels, which dashboards rely on; docs/OPERATIONS.md says how to read each.
"""

from __future__ import annotations

from prometheus_client import (
    CollectorRegistry,
    Counter,
    Gauge,
    Histogram,
    ProcessCollector,
    generate_latest,
)

from orchidwind.elected.core.statements import Outcome, RequestKind
from orchidwind.shared.core.errors import RequestError

# Seconds, from a read on a near replica to the longest deadlines.
_LATENCY_BUCKETS = (0.001, 0.002, 0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1, 2.5, 5, 10)
_TARGET_NAMES = {True: "replica", False: "primary"}


class Gauges:
    """Figures that are set as they are asked for."""

    def __init__(self, registry: CollectorRegistry) -> None:
        def gauge(name: str, text: str) -> Gauge:
            return Gauge(name, text, registry=registry)

        self.callers = gauge("orchidwind_callers", "Callers' connections")
        self.members = gauge("orchidwind_members", "Proxies usable for roles")
        self.homes = gauge("orchidwind_homes", "Databases that this proxy is home of")
        self.configuration_version = gauge(
            "orchidwind_configuration_version", "Version of the configuration in force"
        )
        self.watching = gauge(
            "orchidwind_platform_watch", "1 while this proxy watches the platform"
        )
        self.gossip_bytes = gauge(
            "orchidwind_gossip_bytes", "Bytes of membership datagrams, both ways"
        )
        self.suspicions = gauge(
            "orchidwind_suspicions", "Members that this proxy has suspected since its start"
        )


class Metrics:
    """All figures; one object a process."""

    def __init__(self) -> None:
        self.registry = CollectorRegistry()
        ProcessCollector(registry=self.registry)
        self._requests = self._counter(
            "orchidwind_requests", "Requests finished, by kind and result", "kind", "result"
        )
        self._reads = self._counter(
            "orchidwind_reads",
            "Reads answered, by where they ran and by traffic class",
            "target",
            "traffic_class",
        )
        seconds = Histogram(
            "orchidwind_request_seconds",
            "Time from a statement's arrival to its outcome",
            ["kind"],
            buckets=_LATENCY_BUCKETS,
            registry=self.registry,
        )
        self._errors = self._counter("orchidwind_errors", "Errors told to callers, by kind", "kind")
        self.gauges = Gauges(self.registry)
        # Children by their labels: to look them up in the registry costs a lock for each request.
        self._children: dict[tuple[str, str], Counter] = {}
        self._targets: dict[tuple[bool, str], Counter] = {}
        self._timers = {kind: seconds.labels(kind.value) for kind in RequestKind}

    def _counter(self, name: str, text: str, *labels: str) -> Counter:
        return Counter(name, text, labels, registry=self.registry)

    def finished(
        self, kind: RequestKind, traffic_class: str, outcome: Outcome, seconds: float
    ) -> None:
        """A request ended."""
        result = "ok" if outcome.error is None else outcome.error.kind.value
        key = (kind.value, result)
        child = self._children.get(key)
        if child is None:
            child = self._children[key] = self._requests.labels(*key)
        child.inc()
        self._timers[kind].observe(seconds)
        if kind is RequestKind.READ and outcome.error is None and outcome.instance:
            self._count_read(outcome.is_replica, traffic_class)

    def _count_read(self, is_replica: bool, traffic_class: str) -> None:
        key = (is_replica, traffic_class)
        target = self._targets.get(key)
        if target is None:
            name = _TARGET_NAMES[is_replica]
            target = self._targets[key] = self._reads.labels(name, traffic_class)
        target.inc()

    def error_answered(self, error: RequestError) -> None:
        """A caller got an error as its answer."""
        self._errors.labels(error.kind.value).inc()

    def render(self) -> bytes:
        """The text of `/metrics`."""
        return generate_latest(self.registry)
